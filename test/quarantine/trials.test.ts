import { expect } from 'chai';
import { createSilentLog } from '../../src/events/index.js';
import {
  createTrialCoordinator,
  createTrials,
  type TrialMessage,
} from '../../src/quarantine/index.js';
import { createFakeClock } from '../fixtures/fake-clock.js';

function createClaim(node: string, id: string, fingerprint = 'f') {
  return { node, id, service: 's', fingerprint };
}

describe('the coordinator of trials', () => {
  it('lets one request run at a time, and another beside it', () => {
    const coordinator = createTrialCoordinator();
    expect(coordinator.request(createClaim('a', '1'))).to.equal(true);
    expect(coordinator.request(createClaim('b', '1'))).to.equal(false);
    expect(coordinator.request(createClaim('b', '2', 'g'))).to.equal(true);
    expect(coordinator.ended('a', '1')).to.deep.equal(createClaim('b', '1'));
    expect(coordinator.ended('a', '1')).to.equal(undefined);
  });

  it('names the servers at which others are tried', () => {
    const coordinator = createTrialCoordinator();
    coordinator.request(createClaim('a', '1'));
    coordinator.placed('a', '1', 'server-1');
    const other = createClaim('b', '1', 'g');
    coordinator.request(other);
    expect(coordinator.serversOfOtherTrials(other)).to.deep.equal(['server-1']);
    expect(coordinator.serversOfOtherTrials(createClaim('a', '1'))).to.deep.equal([]);
  });

  it('goes on to the next where the gateway of a trial is lost', () => {
    const coordinator = createTrialCoordinator();
    coordinator.request(createClaim('a', '1'));
    coordinator.request(createClaim('a', '2'));
    coordinator.request(createClaim('b', '1'));
    expect(coordinator.lost('a')).to.deep.equal([createClaim('b', '1')]);
  });
});

describe('asking for a trial', () => {
  function createCase(coordinator: string) {
    const { clock, advance, runUntil } = createFakeClock();
    const sent: TrialMessage[] = [];
    const trials = createTrials({
      clock,
      log: createSilentLog(),
      node: 'a',
      coordinatorOf: () => coordinator,
      send: (_node, message) => sent.push(message),
      rowsOf: () => [],
      mergeRows: () => undefined,
    });
    return { trials, sent, advance, runUntil };
  }

  const signal = new AbortController().signal;

  it('is answered at once where the coordinator is here', async () => {
    const { trials } = createCase('a');
    const answer = await trials.request('s', 'f', signal);
    expect(answer.kind).to.equal('granted');
    if (answer.kind === 'granted') answer.trial.ended();
    expect(trials.size()).to.equal(0);
  });

  it('does not hold a request up where the coordinator is silent', async () => {
    const { trials, runUntil } = createCase('b');
    expect((await runUntil(trials.request('s', 'f', signal))).kind).to.equal('granted');
  });

  it('does not hold a request up where the coordinator is lost', async () => {
    const { trials } = createCase('b');
    const asking = trials.request('s', 'f', signal);
    trials.received('b', { kind: 'trial.queued', id: '1' });
    trials.lost('b');
    expect((await asking).kind).to.equal('granted');
  });

  it('ends after a while behind another trial of the same request, and gives its turn back', async () => {
    const { trials, sent, runUntil } = createCase('b');
    const asking = trials.request('s', 'f', signal);
    trials.received('b', { kind: 'trial.queued', id: '1' });
    expect((await runUntil(asking)).kind).to.equal('busy');
    expect(sent.at(-1)?.kind).to.equal('trial.ended');
  });

  it('ends with the request', async () => {
    const { trials } = createCase('b');
    const giveUp = new AbortController();
    const asking = trials.request('s', 'f', giveUp.signal);
    giveUp.abort();
    expect((await asking).kind).to.equal('aborted');
    expect(trials.size()).to.equal(0);
  });

  it('ends once the request is cleared', async () => {
    const { trials } = createCase('b');
    const asking = trials.request('s', 'f', signal);
    trials.received('b', { kind: 'trial.queued', id: '1' });
    trials.cleared('f');
    expect((await asking).kind).to.equal('granted');
  });
});
