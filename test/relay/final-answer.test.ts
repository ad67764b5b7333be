// What a caller is told of a request's run follows from its sends alone.
import { expect } from 'chai';
import fc from 'fast-check';
import { createHeaderProtocol } from '../../platform/headers.js';
import { mayPassOn, resolveOwnAnswer } from '../../src/relay/final-answer.js';
import { createRunRecord } from '../../src/relay/run-record.js';
import type { SendOutcome } from '../../src/relay/send.js';

type Outcome = SendOutcome['kind'];

const notRun: readonly Outcome[] = ['declined', 'unsent', 'withheld', 'unpaid'];
const others: readonly Outcome[] = ['finished', 'failed', 'lost', 'overdue', 'cut', 'aborted'];

const protocol = createHeaderProtocol();
const ending = { reason: 'for the test', retryAfterMs: 100 };

describe('the gateway’s own answer', () => {
  it('promises that a request did not run only if no send can have begun it', () => {
    const outcomes = fc.array(fc.constantFrom(...notRun, ...others), { maxLength: 6 });
    fc.assert(
      fc.property(outcomes, fc.boolean(), fc.boolean(), (sends, isAtWork, isTimeLimit) => {
        const run = createRunRecord();
        for (const outcome of sends) {
          run.sendStarted();
          run.sendEnded(outcome);
        }
        if (isAtWork) run.sendStarted();
        const answer = resolveOwnAnswer(run.state(), { ...ending, isTimeLimit });
        const isKnown = !isAtWork && sends.every((outcome) => notRun.includes(outcome));
        expect(answer.isPromise).to.equal(isKnown);
        expect(protocol.promisesNotRun(answer.status)).to.equal(isKnown);
        expect(answer.retryAfterMs).to.equal(isKnown ? 100 : undefined);
      }),
      { seed: 1 },
    );
  });
});

describe('the failure of a server', () => {
  it('is not passed on where its status is a promise and the request may not run again', () => {
    for (let status = 300; status < 600; status += 1) {
      expect(mayPassOn(status, true, protocol)).to.equal(true);
      expect(mayPassOn(status, false, protocol)).to.equal(![408, 421, 429, 503].includes(status));
    }
  });
});
