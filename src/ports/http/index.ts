/** Adapters that speak the ports' HTTP protocols. */
export {
  createHttpChannel,
  type AnswerHead,
  type ChannelTerms,
  type Exchange,
  type HttpAnswer,
  type HttpChannel,
  type HttpRequest,
  type Loss,
  type Patience,
  type Receiver,
} from './channel.js';
export { createHttpModelEngine, type HttpModelEngineTerms } from './model-engine.js';
export { createHttpObjectStore, type HttpObjectStoreTerms } from './object-store.js';
export { createHttpPlainService, type HttpPlainServiceTerms } from './plain-service.js';
export {
  createHttpTableService,
  type HttpTableServiceTerms,
  type TableCallOutcome,
  type TableOperation,
} from './table-service.js';
export { createHttpVmList, type HttpVmListTerms } from './vm-list.js';
export { createHttpWeightStore, type HttpWeightStoreTerms } from './weight-store.js';
