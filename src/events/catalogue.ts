/**
 * The catalogue of log events. Each has a number that never changes meaning; `docs/EVENTS.md` is
 * generated from this list and checked in CI.
 */

/** How serious an event is. */
export type Level = 'debug' | 'info' | 'warn' | 'error';

/** What the catalogue knows of one event. */
export interface CatalogueEntry {
  id: number;
  level: Level;
  /** One line for the log and the page. */
  text: string;
}

/** Every event, by name. Numbers: 1xxx process, 2xxx leases and orders, 3xxx requests,
 * 4xxx configuration, 5xxx membership and links, 6xxx claims, 7xxx gateways. */
export const eventCatalogue = {
  nodeStarted: { id: 1001, level: 'info', text: 'node started' },
  acceptsSingly: {
    id: 1009,
    level: 'warn',
    text: 'servers accept one connection in each turn of the event loop; callers wait when it is busy',
  },
  connectionNotOpened: { id: 1010, level: 'warn', text: 'an accepted connection was not usable' },
  nodeStopping: { id: 1002, level: 'info', text: 'node is stopping; in-flight requests finish' },
  nodeStopped: { id: 1003, level: 'info', text: 'node stopped' },
  portTaken: { id: 1004, level: 'error', text: 'a listening address is taken' },
  taskFailed: { id: 1005, level: 'error', text: 'a task could not handle a message' },
  settingsWrong: { id: 1006, level: 'error', text: 'settings are wrong' },
  graceExceeded: { id: 1007, level: 'warn', text: 'stopped before every request had ended' },
  tableUnreachable: {
    id: 1008,
    level: 'error',
    text: 'no configuration at start: neither table service nor peer answered; no work is taken',
  },
  leaseJoined: { id: 2001, level: 'info', text: 'node lease acquired' },
  leaseRenewalFailed: { id: 2002, level: 'warn', text: 'node lease could not be renewed' },
  leaseLapsed: { id: 2003, level: 'warn', text: 'own node lease ran out' },
  leaseLost: { id: 2004, level: 'warn', text: 'own node lease was taken away' },
  peerLapsed: { id: 2005, level: 'warn', text: 'declared the lease of a silent node lapsed' },
  shardTaken: { id: 2006, level: 'info', text: 'shard taken' },
  shardReleased: { id: 2007, level: 'info', text: 'shard released' },
  shardLost: { id: 2008, level: 'warn', text: 'shard lost to another holder' },
  orderJournalled: { id: 2010, level: 'info', text: 'order written to the journal' },
  orderSent: { id: 2011, level: 'info', text: 'order accepted by the engine' },
  orderSettled: { id: 2012, level: 'info', text: 'order took effect' },
  orderRefused: { id: 2013, level: 'warn', text: 'engine refused an order with a stale fence' },
  orderUncertain: { id: 2014, level: 'warn', text: 'the answer to an order was lost' },
  ordersWithheld: {
    id: 2015,
    level: 'warn',
    text: 'orders withheld: a former holder may still order this engine',
  },
  orderUnjournalled: { id: 2016, level: 'warn', text: 'order could not be written to the journal' },
  loadPaced: { id: 2017, level: 'info', text: 'a load waits for the weight store' },
  drainStarted: { id: 2020, level: 'info', text: 'backend server gets no new work' },
  drainFinished: { id: 2021, level: 'info', text: 'backend server has no permits out' },
  drainGivenUp: {
    id: 2022,
    level: 'warn',
    text: 'a change was given up: the backend server did not become idle in time',
  },
  requestFinished: { id: 3001, level: 'debug', text: 'request ended' },
  requestRetried: { id: 3002, level: 'info', text: 'request goes on elsewhere' },
  answerMismatched: { id: 3003, level: 'warn', text: 'chunk of another request was dropped' },
  holderUnreachable: { id: 3004, level: 'warn', text: 'shard holder unreachable' },
  configurationApplied: { id: 4001, level: 'info', text: 'configuration change in force here' },
  configurationAccepted: { id: 4002, level: 'info', text: 'configuration change accepted' },
  configurationUnreadable: { id: 4003, level: 'warn', text: 'configuration log could not be read' },
  configurationStale: {
    id: 4004,
    level: 'error',
    text: 'no word from table or peers; no new work is taken',
  },
  configurationFenced: {
    id: 4005,
    level: 'info',
    text: 'a late configuration write was fenced off',
  },
  peerLinked: { id: 5001, level: 'info', text: 'link to a peer is up' },
  peerUnlinked: { id: 5002, level: 'info', text: 'link to a peer is down' },
  peerRejected: { id: 5003, level: 'warn', text: 'a process without the peer key was turned away' },
  vmListUnavailable: { id: 5004, level: 'warn', text: 'VM list could not be read' },
  frameMalformed: { id: 5005, level: 'warn', text: 'a malformed frame closed a link' },
  claimUncertain: { id: 6001, level: 'warn', text: 'the answer to a claim was lost' },
  claimFenced: { id: 6002, level: 'info', text: 'a late claim was fenced off' },
  claimSettleFailed: { id: 6003, level: 'warn', text: 'the outcome of a claim is not stored yet' },
  gatewayStarted: { id: 7001, level: 'info', text: 'gateway started' },
  gatewayStopping: { id: 7002, level: 'info', text: 'gateway is stopping; requests finish' },
  gatewayStopped: { id: 7003, level: 'info', text: 'gateway stopped' },
  settingsReloaded: { id: 7004, level: 'info', text: 'settings were read again' },
  settingsUnreadable: { id: 7005, level: 'error', text: 'settings could not be read again' },
  logLinesDropped: { id: 7006, level: 'warn', text: 'log lines were left out' },
  storeLost: { id: 7010, level: 'warn', text: 'the store does not answer' },
  storeRegained: { id: 7011, level: 'info', text: 'the store answers again' },
  storeHistoryLost: {
    id: 7012,
    level: 'info',
    text: 'the store dropped history; reading all anew',
  },
  storeCallFailed: { id: 7013, level: 'info', text: 'a call for changes in the store failed' },
  storeRestored: {
    id: 7014,
    level: 'warn',
    text: 'the store is back from an older copy; all is read anew',
  },
  routesApplied: { id: 7020, level: 'info', text: 'routes in force' },
  routesUnreadable: { id: 7021, level: 'error', text: 'a version of the routes cannot be read' },
  serverChanged: { id: 7030, level: 'info', text: 'registry entry of a backend server changed' },
  serverLapsed: { id: 7031, level: 'info', text: 'entry lapsed; it may still return' },
  serverRetired: { id: 7032, level: 'warn', text: 'backend server is not what its entry says' },
  serverAvoided: { id: 7033, level: 'warn', text: 'backend server fails; it is left alone' },
  serverTrusted: { id: 7034, level: 'info', text: 'backend server works again' },
  serverUnreadable: { id: 7035, level: 'warn', text: 'a registry entry cannot be read' },
  serverSignalled: { id: 7036, level: 'info', text: 'a server asks for less, or not any more' },
  serverSignalUnreadable: { id: 7037, level: 'warn', text: 'what a server asks for is unreadable' },
  requestPlaced: { id: 7040, level: 'info', text: 'engines chosen for a request' },
  requestSent: { id: 7041, level: 'info', text: 'request sent to a backend server' },
  streamBegun: { id: 7058, level: 'info', text: 'first event of a stream reaches its caller' },
  streamVersionUnknown: {
    id: 7068,
    level: 'warn',
    text: 'a stream began at one of two incarnations of a server, so it goes on nowhere else',
  },
  sendEnded: { id: 7042, level: 'info', text: 'a send ended' },
  requestRefused: { id: 7043, level: 'info', text: 'request refused; it did not run' },
  requestFailed: { id: 7044, level: 'warn', text: 'request failed; it may have run' },
  failurePassedOn: {
    id: 7103,
    level: 'info',
    text: 'a failure of a backend server is passed on to the caller',
  },
  callerLeft: { id: 7045, level: 'info', text: 'caller left before the end of the answer' },
  promptRead: { id: 7046, level: 'info', text: 'the reading of a prompt at an engine ended' },
  requestsWaitedUnread: {
    id: 7059,
    level: 'warn',
    text: 'requests of callers waited unread, since the event loop was busy',
  },
  overloadBegan: {
    id: 7095,
    level: 'warn',
    text: 'the event loop has more to do than it can; requests that wait for it are refused',
  },
  overloadEnded: {
    id: 7096,
    level: 'warn',
    text: 'the event loop keeps up again; all requests are taken in',
  },
  requestSentLate: {
    id: 7094,
    level: 'warn',
    text: 'a request reached a server connection after its time limit',
  },
  answerNotOwn: {
    id: 7097,
    level: 'warn',
    text: 'an answer on a connection bears an id other than that of its request',
  },
  answerRestAbandoned: {
    id: 7069,
    level: 'warn',
    text: 'the rest of an answer that was of no use did not end; its connection was closed',
  },
  releaseFailed: { id: 7047, level: 'info', text: 'a prompt read in vain was not freed' },
  requestMalformed: { id: 7048, level: 'info', text: 'bytes of a caller were no request' },
  retryDecided: { id: 7049, level: 'info', text: 'a retry was allowed or denied by the budget' },
  requestQueued: { id: 7056, level: 'info', text: 'request queued although it will be late' },
  placeAwaited: {
    id: 7112,
    level: 'info',
    text: 'a request waits for a place, since the engines that can serve it are full',
  },
  requestDeclined: { id: 7057, level: 'info', text: 'scheduler declined a request' },
  retryUnpaid: { id: 7055, level: 'error', text: 'a retry was sent that nothing had paid for' },
  schedulerChanged: { id: 7050, level: 'info', text: 'another gateway schedules a service' },
  engineCacheListed: { id: 7052, level: 'info', text: 'an engine said what it has cached' },
  engineCacheUnknown: { id: 7053, level: 'info', text: 'an engine did not say what it has cached' },
  decisionFailed: { id: 7054, level: 'error', text: 'a decision threw; nothing else is affected' },
  schedulerSilent: { id: 7051, level: 'warn', text: 'scheduler did not answer; placing alone' },
  gatewaysChanged: { id: 7060, level: 'info', text: 'peer gateways were found or lost' },
  gatewayRowFailed: { id: 7062, level: 'warn', text: 'own address could not be published' },
  serverEnded: { id: 7063, level: 'warn', text: 'a server ended with requests at work there' },
  crashesKnown: {
    id: 7064,
    level: 'info',
    text: 'how often servers ended under a request or a part',
  },
  requestBanned: {
    id: 7065,
    level: 'warn',
    text: 'a request, or a part of prompts, ends its servers; refused from now on',
  },
  banRowFailed: {
    id: 7066,
    level: 'warn',
    text: 'a ban could not be read or kept on the platform',
  },
  trialAnswered: { id: 7067, level: 'info', text: 'a suspected request may run, or has to wait' },
  streamNotContinued: {
    id: 7110,
    level: 'info',
    text: 'a stream was not continued; the versions that are known, and how old that knowledge is',
  },
  streamOriginResolved: {
    id: 7090,
    level: 'info',
    text: 'where a stream began that a caller continues, and how that is known',
  },
  statusRequestFailed: {
    id: 7102,
    level: 'warn',
    text: 'a request for readiness, directory or metrics could not be answered',
  },
  originBucketsTaken: {
    id: 7098,
    level: 'info',
    text: 'this gateway now stores where streams of these buckets began',
  },
  originsLoaded: {
    id: 7099,
    level: 'info',
    text: 'stored records of where streams began were read',
  },
  originsDropped: {
    id: 7100,
    level: 'warn',
    text: 'records of where streams began are not kept on the platform, since there are too many',
  },
  originRowFailed: {
    id: 7101,
    level: 'warn',
    text: 'records of where streams began could not be read or stored; tried again',
  },
  versionsLoaded: {
    id: 7091,
    level: 'info',
    text: 'stored software versions that may have begun streams were read',
  },
  versionsStored: {
    id: 7092,
    level: 'info',
    text: 'software versions that may have begun streams were stored',
  },
  versionRowFailed: {
    id: 7093,
    level: 'warn',
    text: 'software versions could not be read or stored on the platform',
  },
  pathLost: {
    id: 7080,
    level: 'warn',
    text: 'no path from here to a server that a peer reaches; connections go through peers',
  },
  pathRestored: { id: 7081, level: 'info', text: 'the path to a server is back' },
  tunnelFailed: { id: 7082, level: 'info', text: 'a peer could not connect to a server' },
  tunnelRefused: { id: 7083, level: 'info', text: 'a peer was not connected to a server' },
  roleLeaseTaken: { id: 7070, level: 'info', text: 'lease for role orders acquired' },
  roleLeaseDenied: { id: 7071, level: 'info', text: 'lease for role orders is not to be had' },
  roleChangeFound: {
    id: 7111,
    level: 'info',
    text: 'an engine changes its role, or has, though the registry says otherwise',
  },
  roleOrdered: { id: 7072, level: 'info', text: 'engine ordered to change its role' },
  roleOrderEnded: { id: 7073, level: 'info', text: 'the answer to a role order' },
} as const satisfies Record<string, CatalogueEntry>;

/** Name of an event. */
export type EventName = keyof typeof eventCatalogue;
