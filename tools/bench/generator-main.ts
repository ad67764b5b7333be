/**
 * The process of a load generator: waits for its parent's job, does it, and sends the report.
 */
import { generate, type GeneratorJob } from './generator.js';

process.once('message', (job: GeneratorJob) => {
  void generate(job).then((report) => {
    process.send?.(report, undefined, undefined, () => {
      process.exit(0);
    });
  });
});
