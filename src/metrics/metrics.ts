/**
 * Counters and histograms of one node. Every refusal and every retry is counted under its reason.
 */
import { Counter, Gauge, Histogram, Registry } from 'prom-client';

const LATENCY_BUCKETS_SECONDS = [
  0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.5, 1, 2, 5, 10, 30, 60,
];

/** A node's metrics; `registry` renders them for `/metrics`. */
export type Metrics = ReturnType<typeof createMetrics>;

/** Creates the metrics of one node in a registry of their own. */
export function createMetrics() {
  const registry = new Registry();
  const registers = [registry];
  const buckets = LATENCY_BUCKETS_SECONDS;
  return {
    registry,
    requests: new Counter({
      name: 'reedtally_requests_total',
      help: 'Requests ended, by class and outcome',
      labelNames: ['class', 'outcome'],
      registers,
    }),
    refusals: new Counter({
      name: 'reedtally_refusals_total',
      help: 'Requests that were not run, by reason and step',
      labelNames: ['reason', 'step'],
      registers,
    }),
    retries: new Counter({
      name: 'reedtally_retries_total',
      help: 'Attempts after the first, by reason',
      labelNames: ['reason'],
      registers,
    }),
    firstToken: new Histogram({
      name: 'reedtally_first_token_seconds',
      help: 'Time from arrival to the first token, by class',
      labelNames: ['class'],
      buckets,
      registers,
    }),
    betweenTokens: new Histogram({
      name: 'reedtally_between_tokens_seconds',
      help: 'Time between two tokens of one answer, by class',
      labelNames: ['class'],
      buckets,
      registers,
    }),
    permitWait: new Histogram({
      name: 'reedtally_permit_wait_seconds',
      help: 'Time from asking for a permit to having it, by class',
      labelNames: ['class'],
      buckets,
      registers,
    }),
    inFlight: new Gauge({
      name: 'reedtally_requests_in_flight',
      help: 'Requests in flight at this node',
      registers,
    }),
    permitsOut: new Gauge({
      name: 'reedtally_permits_out',
      help: 'Permits granted and not yet released, by shard held here',
      labelNames: ['shard'],
      registers,
    }),
    permitsWaiting: new Gauge({
      name: 'reedtally_permits_waiting',
      help: 'Requests that wait for a permit, by shard held here',
      labelNames: ['shard'],
      registers,
    }),
    tableCalls: new Counter({
      name: 'reedtally_table_calls_total',
      help: 'Calls to the table service, by purpose, operation and outcome',
      labelNames: ['purpose', 'operation', 'outcome'],
      registers,
    }),
    orders: new Counter({
      name: 'reedtally_orders_total',
      help: 'Orders to engines, by outcome',
      labelNames: ['outcome'],
      registers,
    }),
    configurationVersion: new Gauge({
      name: 'reedtally_configuration_version',
      help: 'Newest configuration in force on this node',
      registers,
    }),
    peers: new Gauge({
      name: 'reedtally_peers',
      help: 'Peers with a link up',
      registers,
    }),
    claims: new Counter({
      name: 'reedtally_claims_total',
      help: 'Claims of requests that may not be repeated, by outcome',
      labelNames: ['outcome'],
      registers,
    }),
    peerBytes: new Counter({
      name: 'reedtally_peer_bytes_total',
      help: 'Bytes on links between nodes, by direction and purpose',
      labelNames: ['direction', 'purpose'],
      registers,
    }),
  };
}

/** Latencies of a gateway, in seconds. */
const GATEWAY_BUCKETS_SECONDS = [0.005, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 1, 2, 5, 15];

/** A gateway's metrics; `registry` renders them. */
export type GatewayMetrics = ReturnType<typeof createGatewayMetrics>;

/** Creates the metrics of one gateway in a registry of their own. */
export function createGatewayMetrics() {
  const registry = new Registry();
  const registers = [registry];
  const buckets = GATEWAY_BUCKETS_SECONDS;
  return {
    registry,
    requests: new Counter({
      name: 'reedtally_gateway_requests_total',
      help: 'Requests ended, by service and outcome',
      labelNames: ['service', 'outcome'],
      registers,
    }),
    prompts: new Counter({
      name: 'reedtally_gateway_prompts_total',
      help: 'Requests with a prompt ended, by service, outcome and the least power of 4 tokens that holds it',
      labelNames: ['service', 'outcome', 'tokens'],
      registers,
    }),
    refusals: new Counter({
      name: 'reedtally_gateway_refusals_total',
      help: 'Requests that were not run, by reason',
      labelNames: ['reason'],
      registers,
    }),
    retries: new Counter({
      name: 'reedtally_gateway_retries_total',
      help: 'Sends after the first, by reason',
      labelNames: ['reason'],
      registers,
    }),
    retriesRefunded: new Counter({
      name: 'reedtally_gateway_retries_refunded_total',
      help: 'Sends after the first that were paid from the retry budget and not made',
      registers,
    }),
    streamsContinued: new Counter({
      name: 'reedtally_gateway_streams_continued_total',
      help: 'Streams that callers came to continue, by how it is known where they began',
      labelNames: ['origin'],
      registers,
    }),
    firstByte: new Histogram({
      name: 'reedtally_gateway_first_byte_seconds',
      help: 'Time from the arrival of a request to the first byte of its answer, by service',
      labelNames: ['service'],
      buckets,
      registers,
    }),
    duration: new Histogram({
      name: 'reedtally_gateway_request_seconds',
      help: 'Time from the arrival of a request to its end, by service',
      labelNames: ['service'],
      buckets,
      registers,
    }),
    readDelay: new Histogram({
      name: 'reedtally_gateway_read_delay_seconds',
      help: 'Time from the estimated arrival of a request to the reading of its head',
      buckets,
      registers,
    }),
    sendDelay: new Histogram({
      name: 'reedtally_gateway_send_delay_seconds',
      help: 'Time from the estimated arrival of a request to the moment at which it is written to a server',
      buckets,
      registers,
    }),
    turns: new Histogram({
      name: 'reedtally_gateway_turn_seconds',
      help: 'Length of turns of the event loop in which callers were read',
      buckets,
      registers,
    }),
    overloaded: new Gauge({
      name: 'reedtally_gateway_overloaded',
      help: 'Whether the event loop has more to do than it can, so that requests are refused',
      registers,
    }),
    connectionsAccepted: new Counter({
      name: 'reedtally_gateway_connections_accepted_total',
      help: 'Connections accepted from callers',
      registers,
    }),
    storeCalls: new Counter({
      name: 'reedtally_gateway_store_calls_total',
      help: 'Calls to the store, by operation and outcome',
      labelNames: ['operation', 'outcome'],
      registers,
    }),
    unusableEntries: new Counter({
      name: 'reedtally_gateway_unusable_entries_total',
      help: 'Registry entries that came to name no server to use, by what could not be read',
      labelNames: ['reason'],
      registers,
    }),
    signals: new Counter({
      name: 'reedtally_gateway_server_signals_total',
      help: 'Times that servers came to ask for something of those that send to them, by what',
      labelNames: ['signal'],
      registers,
    }),
    connections: new Counter({
      name: 'reedtally_gateway_connections_total',
      help: 'Attempts to connect to servers, by path (own, or a tunnel through a peer) and outcome',
      labelNames: ['path', 'outcome'],
      registers,
    }),
    pathsLost: new Gauge({
      name: 'reedtally_gateway_paths_lost',
      help: 'Servers that peers reach and this gateway does not',
      registers,
    }),
    tunnels: new Gauge({
      name: 'reedtally_gateway_tunnels',
      help: 'Connections to servers that are carried for peers',
      registers,
    }),
    tunnelsRefused: new Counter({
      name: 'reedtally_gateway_tunnels_refused_total',
      help: 'Connections to servers that were not made for peers, by reason',
      labelNames: ['reason'],
      registers,
    }),
    engineRefusals: new Counter({
      name: 'reedtally_gateway_engine_refusals_total',
      help: 'Requests that a scheduler found no engine for, by what most engines said and whether only one version will do',
      labelNames: ['bound', 'reason'],
      registers,
    }),
    answersNotOwn: new Counter({
      name: 'reedtally_gateway_answers_not_own_total',
      help: 'Answers of servers that bear the id of another request, by whether they declined it',
      labelNames: ['declined'],
      registers,
    }),
    originsStored: new Counter({
      name: 'reedtally_gateway_origin_segments_total',
      help: 'Segments of where streams began that were to be stored, by outcome',
      labelNames: ['outcome'],
      registers,
    }),
    failuresPassedOn: new Counter({
      name: 'reedtally_gateway_failures_passed_on_total',
      help: 'Failures of backend servers that were passed on to callers, by their status',
      labelNames: ['service', 'status'],
      registers,
    }),
    withheld: new Counter({
      name: 'reedtally_gateway_sends_withheld_total',
      help: 'Sends that were not made since the server wanted nothing, by why',
      labelNames: ['reason'],
      registers,
    }),
    crashesCounted: new Counter({
      name: 'reedtally_gateway_crashes_counted_total',
      help: 'Requests at work at servers that ended, by what showed the end',
      labelNames: ['sign'],
      registers,
    }),
    bans: new Counter({
      name: 'reedtally_gateway_bans_total',
      help: 'Requests and parts of prompts that came to be refused because servers ended under them',
      registers,
    }),
    banned: new Gauge({
      name: 'reedtally_gateway_banned_requests',
      help: 'Requests and parts of prompts that are refused now because servers ended under them',
      registers,
    }),
    settingsSince: new Gauge({
      name: 'reedtally_gateway_settings_since_seconds',
      help: 'When the settings in force were taken, as Unix time, by their fingerprint',
      labelNames: ['fingerprint'],
      registers,
    }),
    routesSince: new Gauge({
      name: 'reedtally_gateway_routes_since_seconds',
      help: 'When the routes in force were taken, as Unix time, by their version',
      labelNames: ['version'],
      registers,
    }),
    peers: new Gauge({
      name: 'reedtally_gateway_peers',
      help: 'Peer gateways believed alive',
      registers,
    }),
    residentMemory: new Gauge({
      name: 'reedtally_gateway_resident_memory_bytes',
      help: 'Resident memory of the process',
      registers,
    }),
    errorsUncaught: new Counter({
      name: 'reedtally_gateway_errors_uncaught_total',
      help: 'Errors that nobody caught',
      registers,
    }),
    logLinesDropped: new Counter({
      name: 'reedtally_gateway_log_lines_dropped_total',
      help: 'Log lines left out to keep the volume bounded',
      registers,
    }),
  };
}
