/**
 * The setup that engine groups want of an engine: the model and adapters of every group that it
 * belongs to. An engine that has them all is not changed, even if it holds more: unloading makes it
 * unavailable for seconds and gains its groups nothing.
 */
import type { EngineGroup } from '../configuration/index.js';
import type { EngineSetup } from './rows.js';

/**
 * Resolves the setup that an engine's groups want.
 *
 * @param groups the groups that it belongs to
 * @param present its present or last ordered setup
 * @returns `undefined` if it lacks nothing; otherwise its present role with the models and
 *   adapters of its groups only; the present models if no group names one
 */
export function resolveGroupSetup(
  groups: readonly EngineGroup[],
  present: EngineSetup,
): EngineSetup | undefined {
  const models = new Set<string>();
  const adapters = new Set<string>();
  for (const group of groups) {
    if (group.model !== undefined) models.add(group.model);
    for (const adapter of group.adapters) adapters.add(adapter);
  }
  if (hasAll(present.models, models) && hasAll(present.adapters, adapters)) return undefined;
  return {
    role: present.role,
    models: models.size === 0 ? present.models : [...models].sort(),
    adapters: [...adapters].sort(),
  };
}

function hasAll(present: readonly string[], wanted: ReadonlySet<string>): boolean {
  for (const name of wanted) {
    if (!present.includes(name)) return false;
  }
  return true;
}
