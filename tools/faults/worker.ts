/** A thread that runs cells of the matrix, one after the other, and tells what came of each. */
import { parentPort } from 'node:worker_threads';
import { runCell, type Cell, type RunOutcome } from './cell.js';

/** One run that a thread is to make. */
export interface Job {
  /** Its place in the plan. */
  index: number;
  cells: Cell[];
  seed: number;
}

/** What came of a job. */
export interface JobResult {
  index: number;
  outcome: RunOutcome;
}

parentPort?.on('message', (job: Job) => {
  void runCell(job.cells, job.seed).then((outcome) => {
    const result: JobResult = { index: job.index, outcome };
    parentPort?.postMessage(result);
  });
});
