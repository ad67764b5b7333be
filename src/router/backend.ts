/**
 * Ports to backend servers, created on first use and cached by id and address.
 */
import type { ModelEngine, PlainService } from '../ports/index.js';

export interface Backends {
  engine(id: string, address: string): ModelEngine;
  service(id: string, address: string): PlainService;
}

export interface BackendFactories {
  createEngine: (id: string, address: string) => ModelEngine;
  createService: (id: string, address: string) => PlainService;
}

/**
 * Creates an empty cache of ports.
 *
 * @param factories create the port to one server
 */
export function createBackends(factories: BackendFactories): Backends {
  const engines = new Map<string, ModelEngine>();
  const services = new Map<string, PlainService>();
  return {
    engine: (id, address) => findOrCreate(engines, id, address, factories.createEngine),
    service: (id, address) => findOrCreate(services, id, address, factories.createService),
  };
}

function findOrCreate<Port>(
  ports: Map<string, Port>,
  id: string,
  address: string,
  create: (id: string, address: string) => Port,
): Port {
  const key = `${id}@${address}`;
  const known = ports.get(key);
  if (known !== undefined) return known;
  const created = create(id, address);
  ports.set(key, created);
  return created;
}
