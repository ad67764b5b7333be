// Guards against a gateway that grows with its callers until its machine has no memory left and ends it.
import { expect } from 'chai';
import { connect, type Socket } from 'node:net';
import { ask, heads, until } from '../fixtures/gateway.js';
import { startGatewayProcess, type GatewayProcess } from '../fixtures/measured-gateway.js';

const MEGABYTE = 1_048_576;
const MEMORY_MB = 350;
const BODY_BYTES = 4 * MEGABYTE;
/** Bytes that a caller does not send. */
const MISSING_BYTES = 10;
const CALLERS = 150;
const OTHERS = 60;
/** Part of the others that are to be served meanwhile. */
const SERVED_SHARE = 0.97;
/** Time of a request, in ms: longer than the test needs. */
const TIMEOUT_MS = 60_000;

const almostWhole = Buffer.alloc(BODY_BYTES - MISSING_BYTES, 'a');

/** A caller that sends its body but for its end. */
interface Sender {
  socket: Socket;
  /** All bytes are with the system, which gives up what the gateway does not read. */
  isSent: boolean;
  answer: string;
}

function startSender(port: number, id: number): Sender {
  const sender: Sender = { socket: connect(port, '127.0.0.1'), isSent: false, answer: '' };
  const headers = { ...heads(`large-${id}`), 'X-Request-Deadline-Ms': String(TIMEOUT_MS) };
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}`);
  const head = ['POST /once/large HTTP/1.1', ...lines, `Content-Length: ${BODY_BYTES}`, '', ''];
  sender.socket.on('error', () => undefined);
  sender.socket.on('data', (chunk) => {
    sender.answer += String(chunk);
    // a refused caller sends no more
    sender.socket.destroy();
  });
  sender.socket.write(head.join('\r\n'));
  sender.socket.write(almostWhole, () => (sender.isSent = true));
  return sender;
}

describe('the memory of a gateway', () => {
  let gateway: GatewayProcess;
  let senders: Sender[];

  beforeEach(async () => {
    senders = [];
    const terms = { memoryMb: MEMORY_MB, maxBodyBytes: BODY_BYTES, timeoutMs: TIMEOUT_MS };
    gateway = await startGatewayProcess(terms);
  });

  afterEach(async () => {
    for (const { socket } of senders) socket.destroy();
    await gateway.close();
  });

  it('stays within its machine while callers send large bodies but for their end', async () => {
    for (let id = 0; id < CALLERS; id += 1) senders.push(startSender(gateway.port, id));
    await until(() => senders.every(({ isSent, answer }) => isSent || answer !== ''));
    let served = 0;
    for (let id = 0; id < OTHERS; id += 1) {
      const headers = { ...heads(`small-${id}`), 'X-Request-Deadline-Ms': String(TIMEOUT_MS) };
      const question = { method: 'POST', path: '/once/small', headers };
      const { status } = await ask(gateway.port, { ...question, body: 'small' });
      if (status === 200) served += 1;
    }
    expect(gateway.peakBytes() / MEGABYTE).to.be.below(MEMORY_MB);
    expect(served).to.be.at.least(OTHERS * SERVED_SHARE);
  });
});
