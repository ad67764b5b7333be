/** Checks of the options of the tools' commands. */

/**
 * Throws on an option that a command does not have: the parser lets it pass, and a run with a
 * mistyped one would measure something else.
 *
 * @param rawArguments what the command was called with
 * @param options the options that it has, by name
 */
export function refuseUnknown(rawArguments: readonly string[], options: object): void {
  for (const argument of rawArguments) {
    if (!argument.startsWith('--')) continue;
    const [name = ''] = argument.slice(2).split('=');
    if (name in options) continue;
    throw new Error(`there is no option --${name}; see --help`);
  }
}
