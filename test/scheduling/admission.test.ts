import { expect } from 'chai';
import { resolveAdmission, type PrefillEstimate } from '../../src/scheduling/admission.js';

function createEstimate(more: Partial<PrefillEstimate>): PrefillEstimate {
  const none = { queueDelayMs: 0, prefillMs: 0, handoffMs: 0, penaltyMs: 0, lateBacklogMs: 0 };
  return { ...none, scoredPrefillMs: more.prefillMs ?? 0, delaysOthers: false, ...more };
}

/** Has parts of the prompt cached, but a longer queue. */
const cached = createEstimate({ queueDelayMs: 150, prefillMs: 20 });
const uncached = createEstimate({ queueDelayMs: 60, prefillMs: 60 });
const terms = {
  objectiveLeftMs: 200,
  timeLeftMs: 3_000,
  marginMs: 0,
  mayBeLate: true,
  spareCapacity: 1,
};

describe('admission', () => {
  it('chooses the faster engine with spare capacity', () => {
    const admission = resolveAdmission([cached, uncached], terms);
    expect(admission).to.deep.equal({ kind: 'punctual', option: uncached });
  });

  it('keeps a prompt at the engine with its cached parts in overload', () => {
    const admission = resolveAdmission([cached, uncached], { ...terms, spareCapacity: 0.2 });
    expect(admission).to.deep.equal({ kind: 'punctual', option: cached });
  });

  it('does not move a prompt to an engine without its cached parts in overload', () => {
    const overload = { ...terms, objectiveLeftMs: 160, timeLeftMs: 400, spareCapacity: 0.2 };
    expect(resolveAdmission([cached, uncached], overload).kind).to.equal('declined');
  });

  it('admits late requests only if spare capacity is likely', () => {
    const late = { ...terms, objectiveLeftMs: 100 };
    expect(resolveAdmission([uncached], late).kind).to.equal('late');
    expect(resolveAdmission([uncached], { ...late, spareCapacity: 0.02 }).kind).to.equal(
      'declined',
    );
  });

  it('sets Retry-After to the queue drain time, at most a third of the time left', () => {
    const late = { ...terms, objectiveLeftMs: 100, mayBeLate: false };
    const idle = resolveAdmission([cached], late);
    const busy = resolveAdmission([cached], { ...late, spareCapacity: 0.25 });
    const saturated = resolveAdmission([cached], { ...late, spareCapacity: 0.02 });
    expect(idle).to.include({ kind: 'declined', retryAfterMs: 70 });
    expect(busy).to.include({ kind: 'declined', retryAfterMs: 280 });
    expect(saturated).to.include({ kind: 'declined', retryAfterMs: 1_000 });
  });
});
