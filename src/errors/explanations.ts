/**
 * What each failure code means, whether the work ran, and what its reader can do.
 * `docs/operators/refusals.md` is generated from this list.
 */
import type { FailureCode } from './failure.js';

/** Whether work ran under a code; `either` is decided by the failure's own `outcome`. */
export type PossibleOutcome = 'not-run' | 'unknown' | 'either';

/** What is to be known of a failure code. */
export interface CodeExplanation {
  meaning: string;
  outcome: PossibleOutcome;
  /** What the caller or the operator can do. */
  remedy: string;
}

const FIX_REQUEST = 'Mend the field that `field` names; repeating it unchanged does not help.';
const ASK_LATER = 'Ask again after `Retry-After`, at any entry point.';

/** Every code with its explanation. */
export const codeExplanations: Readonly<Record<FailureCode, CodeExplanation>> = {
  'malformed-request': {
    meaning: 'A part of the request has a wrong type or value, or is not supported.',
    outcome: 'not-run',
    remedy: FIX_REQUEST,
  },
  'body-too-large': {
    meaning: 'The body is larger than `requests.maxBodyBytes`.',
    outcome: 'not-run',
    remedy: 'Send less, or have an operator raise the setting on every node.',
  },
  'headers-too-large': {
    meaning: 'The headers are larger than 16,384 bytes.',
    outcome: 'not-run',
    remedy: 'Send fewer or shorter headers.',
  },
  'request-timeout': {
    meaning: 'The request was not whole within `requests.readTimeoutMs`.',
    outcome: 'not-run',
    remedy: 'Send it again without pauses; look at the link if it recurs.',
  },
  unauthenticated: {
    meaning: 'The API key or operator token is missing or unknown.',
    outcome: 'not-run',
    remedy: 'Send a key of the team; operators add its hash with `reedtally apply`.',
  },
  forbidden: {
    meaning: 'The key is known but may not do this.',
    outcome: 'not-run',
    remedy: 'Use a key that may.',
  },
  'unknown-model': {
    meaning: 'No engine group serves the model, or none that is reached has the adapter.',
    outcome: 'not-run',
    remedy: 'Ask `GET /v1/models`; operators look at `reedtally get group`.',
  },
  'unknown-class': {
    meaning: 'There is no request class of this name.',
    outcome: 'not-run',
    remedy: 'Name an existing class in `x-reedtally-class`; see `reedtally get class`.',
  },
  'unknown-service': {
    meaning: 'No engine group provides the plain service.',
    outcome: 'not-run',
    remedy: 'Check the name; operators look at `reedtally get group`.',
  },
  'unknown-object': {
    meaning: 'There is nothing of this name, id or path, or it belongs to another team.',
    outcome: 'not-run',
    remedy: 'Check the name; the fate of a request is known for `requests.fateKeptMs` only.',
  },
  'no-binding': {
    meaning: 'No binding lets the team use this model or service with this class.',
    outcome: 'not-run',
    remedy: 'Operators ask `reedtally explain` why, and change labels or a binding.',
  },
  'deadline-expired': {
    meaning: 'The deadline had passed, or passed before the answer was whole.',
    outcome: 'either',
    remedy: 'Give more time, or send less at once.',
  },
  'idempotency-key-missing': {
    meaning: 'The class may not be repeated and the call has no `Idempotency-Key`.',
    outcome: 'not-run',
    remedy: 'Send a key that is new for each thing to be done.',
  },
  'idempotency-key-reused': {
    meaning: 'The key was used by the team for another call.',
    outcome: 'not-run',
    remedy: 'Use a new key for a new call, and the same body for the same call.',
  },
  'cannot-be-on-time': {
    meaning: 'The work ahead takes longer than the request may wait.',
    outcome: 'either',
    remedy: ASK_LATER,
  },
  'rate-limited': {
    meaning: "A limit of the team on requests or tokens is reached, or the store's own.",
    outcome: 'not-run',
    remedy: `${ASK_LATER} Operators raise the team's limits.`,
  },
  'concurrency-limited': {
    meaning: 'The team has as many requests in flight as it may.',
    outcome: 'not-run',
    remedy: "Wait for one of the team's requests to end.",
  },
  'queue-full': {
    meaning: 'Too many requests wait, or the engine has no room.',
    outcome: 'either',
    remedy: ASK_LATER,
  },
  'in-progress': {
    meaning: 'A call under the same idempotency key is running; this one was not sent.',
    outcome: 'either',
    remedy: 'Ask again with the same key in a moment, to get its answer.',
  },
  'no-backend-server': {
    meaning: 'No backend server of the reached groups can take the request now.',
    outcome: 'either',
    remedy: 'Operators look at `reedtally status`: are they live, drained, loaded?',
  },
  leaving: {
    meaning: 'The node or backend server is shutting down and takes no new work.',
    outcome: 'either',
    remedy: 'Ask `/v1/entry-points` of another node which address to use.',
  },
  'configuration-stale': {
    meaning: 'The node has no configuration, or heard of none for `configuration.staleAfterMs`.',
    outcome: 'not-run',
    remedy: 'Use another entry point; operators see to the table service and the links.',
  },
  'claims-unavailable': {
    meaning: 'The claim that keeps the call from running twice cannot be stored, or not read, now.',
    outcome: 'either',
    remedy: `${ASK_LATER} Use the same idempotency key. Operators see to the table service.`,
  },
  'retry-budget-spent': {
    meaning:
      'Too many requests were retried of late; counted only, with the failure that led to it.',
    outcome: 'either',
    remedy: 'Operators look for the cause under `reedtally_retries_total`.',
  },
  'holder-unreachable': {
    meaning: 'The node that grants places on these backend servers cannot be reached.',
    outcome: 'not-run',
    remedy: `${ASK_LATER} A successor takes over once the lease lapsed.`,
  },
  'table-unavailable': {
    meaning: 'The table service declined; nothing was written.',
    outcome: 'not-run',
    remedy: 'Try again; see the page on table outages if it lasts.',
  },
  'table-unknown': {
    meaning: 'The answer of the table service was lost and could not be settled by reading back.',
    outcome: 'unknown',
    remedy: 'Look at the object with `reedtally get` before changing it again.',
  },
  'object-store-unavailable': {
    meaning: 'The object store, where large stored answers are, did not answer.',
    outcome: 'either',
    remedy: 'Ask again with the same idempotency key; operators see to the store.',
  },
  'backend-server-unreachable': {
    meaning: 'No connection to the backend server was made.',
    outcome: 'either',
    remedy: ASK_LATER,
  },
  'backend-server-failed': {
    meaning: 'The backend server answered with an error.',
    outcome: 'either',
    remedy: 'Operators look at the backend server that `peer` names.',
  },
  'answer-incomplete': {
    meaning: 'The answer broke off and could not be taken up elsewhere.',
    outcome: 'unknown',
    remedy: 'Repeat it if doing it twice is harmless.',
  },
  'answer-mismatched': {
    meaning: 'The backend server answered for another request; that answer was dropped.',
    outcome: 'unknown',
    remedy: 'Repeat it if doing it twice is harmless; operators look at the server.',
  },
  'outcome-unknown': {
    meaning: 'The call may have run, and its answer is lost. It is never run again by the system.',
    outcome: 'unknown',
    remedy: 'Find out from the service itself before asking anew under another key.',
  },
  'peer-unreachable': {
    meaning: 'Another node did not answer.',
    outcome: 'either',
    remedy: ASK_LATER,
  },
  conflict: {
    meaning: 'Another operator changed the same object.',
    outcome: 'not-run',
    remedy: 'Read the object again and repeat the change on it.',
  },
  'lease-lost': {
    meaning: 'The node no longer holds what the work needs.',
    outcome: 'either',
    remedy: ASK_LATER,
  },
  'order-refused': {
    meaning: 'An engine refused an order, or orders to it are withheld.',
    outcome: 'not-run',
    remedy: 'Operators look at events 2013 and 2015.',
  },
  'drain-pending': {
    meaning: 'Requests still run on the engine, so it is not changed yet.',
    outcome: 'not-run',
    remedy: 'Wait; it is tried again after `orders.tryAgainMs`.',
  },
  'invalid-configuration': {
    meaning: 'The change would make the configuration wrong, or leave a team with nowhere to go.',
    outcome: 'not-run',
    remedy: 'Mend what the message names; `--force` accepts a team without a way.',
  },
  cancelled: {
    meaning: 'The caller went away.',
    outcome: 'either',
    remedy: 'Nothing; it is counted apart from faults.',
  },
  internal: {
    meaning: 'A fault of the node itself.',
    outcome: 'unknown',
    remedy: 'Look at event 1005 in its log, and report it.',
  },
};
