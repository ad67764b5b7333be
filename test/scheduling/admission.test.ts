import { expect } from 'chai';
import { resolveAdmission, type PrefillEstimate } from '../../src/scheduling/admission.js';

function prospect(more: Partial<PrefillEstimate>): PrefillEstimate {
  const none = { queueDelayMs: 0, prefillMs: 0, handoffMs: 0, penaltyMs: 0, lateBacklogMs: 0 };
  return { ...none, scoredPrefillMs: more.prefillMs ?? 0, delaysOthers: false, ...more };
}

/** It has parts of the prompt cached, and a longer queue. */
const holder = prospect({ queueDelayMs: 150, prefillMs: 20 });
const other = prospect({ queueDelayMs: 60, prefillMs: 60 });
const demand = {
  objectiveLeftMs: 200,
  timeLeftMs: 3_000,
  marginMs: 0,
  mayBeLate: true,
  spareCapacity: 1,
};

describe('the admission of prompts', () => {
  it('takes the sooner engine while engines have time', () => {
    const admission = resolveAdmission([holder, other], demand);
    expect(admission).to.deep.equal({ kind: 'punctual', option: other });
  });

  it('keeps a prompt at the engine that has its parts in overload', () => {
    const admission = resolveAdmission([holder, other], { ...demand, spareCapacity: 0.2 });
    expect(admission).to.deep.equal({ kind: 'punctual', option: holder });
  });

  it('does not go on to an engine that has to read all again, to be on time in overload', () => {
    const terms = { ...demand, objectiveLeftMs: 160, timeLeftMs: 400, spareShare: 0.2 };
    expect(resolveAdmission([holder, other], terms).kind).to.equal('declined');
  });

  it('lets a request be late only where spare time is likely to come', () => {
    const terms = { ...demand, objectiveLeftMs: 100 };
    expect(resolveAdmission([other], terms).kind).to.equal('late');
    expect(resolveAdmission([other], { ...terms, spareCapacity: 0.02 }).kind).to.equal('declined');
  });

  it('tells a caller to come back when the queue has drained, within a third of its time', () => {
    const late = { ...demand, objectiveLeftMs: 100, mayBeLate: false };
    const soon = resolveAdmission([holder], late);
    const busy = resolveAdmission([holder], { ...late, spareCapacity: 0.25 });
    const never = resolveAdmission([holder], { ...late, spareCapacity: 0.02 });
    expect(soon).to.include({ kind: 'declined', retryAfterMs: 70 });
    expect(busy).to.include({ kind: 'declined', retryAfterMs: 280 });
    expect(never).to.include({ kind: 'declined', retryAfterMs: 1_000 });
  });
});
