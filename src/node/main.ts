/**
 * The node process: reads settings, runs a node, and stops it gracefully when a signal asks for it. Settings are read at the
 * start alone, so a signal to read them again changes nothing.
 */
import { createLog, type Log } from '../events/index.js';
import { createSignals, type Signals } from '../process/signals.js';
import {
  loadCertificate,
  loadSecret,
  loadSettings,
  type ValidationIssue,
  type Settings,
} from '../settings/index.js';
import { createNode, type Certificates, type Secrets } from './node.js';

/** Exit code when the settings are wrong. */
const WRONG_SETTINGS = 2;
/** Exit code when an address is taken or the node cannot start. */
const CANNOT_START = 1;

/**
 * Runs a node until it is told to stop.
 *
 * @param file path of its settings
 * @param signals the signals that have come, and those to come
 * @returns the exit code
 */
export async function runNode(file: string, signals = createSignals()): Promise<number> {
  const settings = loadSettings(file);
  if (settings.isErr()) return reportIssues(createLog('unnamed', 'info'), settings.error);
  const log = createLog(settings.value.node, settings.value.log.level);
  const secrets = loadSecrets(settings.value);
  if (Array.isArray(secrets)) return reportIssues(log, secrets);
  const node = createNode(settings.value, secrets, log);
  // before the start, or a signal that comes meanwhile would end the process at once
  const stopSignal = receiveStopSignal(signals, log);
  try {
    await node.start();
  } catch (error) {
    log.write('portTaken', { error: String(error), advice: 'stop the other process or change it' });
    return CANNOT_START;
  }
  await stopSignal;
  await node.stop();
  return 0;
}

function loadSecrets(settings: Settings): Secrets | ValidationIssue[] {
  const peerKey = loadSecret('peerKey', settings.secrets.peerKey);
  const operatorToken = loadSecret('operatorToken', settings.secrets.operatorToken);
  const issues: ValidationIssue[] = [];
  const certificates = loadCertificates(settings, issues);
  if (peerKey.isErr()) issues.push(peerKey.error);
  if (operatorToken.isErr()) issues.push(operatorToken.error);
  if (peerKey.isOk() && operatorToken.isOk() && issues.length === 0) {
    return { peerKey: peerKey.value, operatorToken: operatorToken.value, certificates };
  }
  return issues;
}

function loadCertificates(settings: Settings, issues: ValidationIssue[]): Certificates {
  const certificates: Certificates = {};
  for (const use of ['caller', 'operator', 'peer'] as const) {
    const files = settings.tls[use];
    if (files === undefined) continue;
    const loaded = loadCertificate(use, files);
    if (loaded.isErr()) issues.push(loaded.error);
    else certificates[use] = loaded.value;
  }
  return certificates;
}

function reportIssues(log: Log, issues: readonly ValidationIssue[]): number {
  for (const issue of issues) {
    log.write('settingsWrong', { ...issue });
  }
  return WRONG_SETTINGS;
}

function receiveStopSignal(signals: Signals, log: Log): Promise<void> {
  return new Promise((resolve) => {
    signals.attach({
      received(signal, effect) {
        log.write('signalReceived', { signal, effect });
      },
      stop: resolve,
    });
  });
}
