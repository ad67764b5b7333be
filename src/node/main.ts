/**
 * The node process.
 */

/**
 * Runs a node until it is stopped.
 *
 * @param file path of its settings
 * @returns the exit code
 */
export function runNode(file: string): Promise<number> {
  return Promise.reject(new Error(`no node to run with ${file} yet`));
}
