/** The model engine's stand-in, and the answers that it gives. */
export * from './answer.js';
export { type EngineEntry, type OrderResult, type RefusalReason } from './engine.js';
export * from './settings.js';
export * from './stand-in.js';
