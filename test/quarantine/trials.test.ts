import { expect } from 'chai';
import {
  createTrialCoordinator,
  createTrials,
  type TrialMessage,
} from '../../src/quarantine/index.js';
import { createFakeClock } from '../fixtures/fake-clock.js';
import { createKeptLog } from '../fixtures/gateway.js';

function createRequest(node: string, id: string, fingerprint = 'f') {
  return { node, id, service: 's', fingerprint };
}

describe('the coordinator of trials', () => {
  it('serializes trials of one request but not of different requests', () => {
    const coordinator = createTrialCoordinator();
    expect(coordinator.enqueue(createRequest('a', '1'))).to.equal(true);
    expect(coordinator.enqueue(createRequest('b', '1'))).to.equal(false);
    expect(coordinator.enqueue(createRequest('b', '2', 'g'))).to.equal(true);
    expect(coordinator.ended('a', '1')).to.deep.equal(createRequest('b', '1'));
    expect(coordinator.ended('a', '1')).to.equal(undefined);
  });

  it('lists the servers of other trials', () => {
    const coordinator = createTrialCoordinator();
    coordinator.enqueue(createRequest('a', '1'));
    coordinator.placed('a', '1', 'server-1');
    const other = createRequest('b', '1', 'g');
    coordinator.enqueue(other);
    expect(coordinator.serversOfOtherTrials(other)).to.deep.equal(['server-1']);
    expect(coordinator.serversOfOtherTrials(createRequest('a', '1'))).to.deep.equal([]);
  });

  it('starts the next trial when the gateway of the running one is lost', () => {
    const coordinator = createTrialCoordinator();
    coordinator.enqueue(createRequest('a', '1'));
    coordinator.enqueue(createRequest('a', '2'));
    coordinator.enqueue(createRequest('b', '1'));
    expect(coordinator.lost('a')).to.deep.equal([createRequest('b', '1')]);
  });
});

describe('trial requests', () => {
  function createCase(coordinator: string) {
    const { clock, advance, runUntil } = createFakeClock();
    const sent: TrialMessage[] = [];
    const log = createKeptLog();
    const trials = createTrials({
      clock,
      log,
      node: 'a',
      coordinatorOf: () => coordinator,
      send: (_node, message) => sent.push(message),
      rowsOf: () => [],
      mergeRows: () => undefined,
    });
    return { trials, sent, log, advance, runUntil };
  }

  const signal = new AbortController().signal;

  it('are logged with their coordinator, and leave the time of the line as it is', async () => {
    const { trials, log } = createCase('a');
    await trials.requestTrial('s', 'f', signal);
    const [line] = log.lines;
    expect(line?.fields).to.include({ coordinator: 'a', answer: 'granted' });
    expect(line?.fields).not.to.have.property('at');
  });

  it('are granted at once by a local coordinator', async () => {
    const { trials } = createCase('a');
    const answer = await trials.requestTrial('s', 'f', signal);
    expect(answer.kind).to.equal('granted');
    if (answer.kind === 'granted') answer.trial.ended();
    expect(trials.size()).to.equal(0);
  });

  it('are granted when the coordinator does not answer', async () => {
    const { trials, runUntil } = createCase('b');
    expect((await runUntil(trials.requestTrial('s', 'f', signal))).kind).to.equal('granted');
  });

  it('are granted when the coordinator is lost', async () => {
    const { trials } = createCase('b');
    const answer = trials.requestTrial('s', 'f', signal);
    trials.received('b', { kind: 'trial.queued', id: '1' });
    trials.lost('b');
    expect((await answer).kind).to.equal('granted');
  });

  it('return busy after the maximum queueing time, and leave the queue', async () => {
    const { trials, sent, runUntil } = createCase('b');
    const answer = trials.requestTrial('s', 'f', signal);
    trials.received('b', { kind: 'trial.queued', id: '1' });
    expect((await runUntil(answer)).kind).to.equal('busy');
    expect(sent.at(-1)?.kind).to.equal('trial.ended');
  });

  it('are aborted with the request', async () => {
    const { trials } = createCase('b');
    const controller = new AbortController();
    const answer = trials.requestTrial('s', 'f', controller.signal);
    controller.abort();
    expect((await answer).kind).to.equal('aborted');
    expect(trials.size()).to.equal(0);
  });

  it('are granted once the request is cleared', async () => {
    const { trials } = createCase('b');
    const answer = trials.requestTrial('s', 'f', signal);
    trials.received('b', { kind: 'trial.queued', id: '1' });
    trials.cleared('f');
    expect((await answer).kind).to.equal('granted');
  });
});
