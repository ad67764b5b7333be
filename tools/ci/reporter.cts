/**
 * Mocha's spec reporter with a plain last line, `N passed, N failed`, and the list of tests that
 * are known to fail. It is a CommonJS module because mocha loads reporters by `require`.
 */
import fs = require('node:fs');
import Mocha = require('mocha');
import knownRed = require('./known-red.cjs');

const LIST = 'KNOWN-RED.txt';

/** Reports a run, and decides by the list whether it failed. */
class Reporter extends Mocha.reporters.Spec {
  readonly #passed: string[] = [];
  readonly #failed: string[] = [];
  #skipped = 0;

  constructor(runner: Mocha.Runner, options: Mocha.MochaOptions) {
    super(runner, options);
    runner.on('pass', (test) => {
      this.#passed.push(test.fullTitle());
    });
    runner.on('fail', (test) => {
      this.#failed.push(test.fullTitle());
    });
    runner.on('pending', () => {
      this.#skipped += 1;
    });
  }

  /** Called by mocha at the end; what is handed to `exit` becomes the exit code. */
  override done(_failures: number, exit?: (failures: number) => void): void {
    const text = fs.existsSync(LIST) ? fs.readFileSync(LIST, 'utf8') : '';
    const run = { passed: this.#passed, failed: this.#failed };
    const { notes, faults } = knownRed.judge(knownRed.parseKnownRed(text), run);
    for (const note of notes) {
      process.stdout.write(`${note}\n`);
    }
    const skipped = this.#skipped === 0 ? '' : `, ${this.#skipped} skipped`;
    process.stdout.write(`${run.passed.length} passed, ${run.failed.length} failed${skipped}\n`);
    exit?.(faults);
  }
}

export = Reporter;
