import js from '@eslint/js';
import prettier from 'eslint-config-prettier';
import tseslint from 'typescript-eslint';

export default tseslint.config(
  { ignores: ['target/**', 'dist/**', 'node_modules/**', 'out/**'] },
  js.configs.recommended,
  {
    files: ['**/*.ts', '**/*.cts'],
    extends: [...tseslint.configs.strictTypeChecked, ...tseslint.configs.stylisticTypeChecked],
    languageOptions: {
      parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname },
    },
    rules: {
      '@typescript-eslint/restrict-template-expressions': ['error', { allowNumber: true }],
      '@typescript-eslint/consistent-type-imports': 'error',
    },
  },
  {
    files: ['**/*.cts'],
    rules: {
      // the only form of import that TypeScript takes in a CommonJS module
      '@typescript-eslint/no-require-imports': ['error', { allowAsImport: true }],
    },
  },
  {
    files: ['test/**/*.ts'],
    rules: {
      // chai's property assertions (`to.be.true`) are expressions by design
      '@typescript-eslint/no-unused-expressions': 'off',
    },
  },
  prettier,
);
