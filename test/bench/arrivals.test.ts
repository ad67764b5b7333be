import { expect } from 'chai';
import { createArrivals, type Offer } from '../../tools/bench/arrivals.js';
import { requestCost } from '../../tools/bench/capacity.js';
import { loadExperiment } from '../../tools/bench/settings.js';

const experiment = loadExperiment('tema');
const offer: Offer = { seed: 7, seconds: 600, load: 0.9, largeFactor: 1 };

function listSmall(largeFactor: number): string[] {
  const listed: string[] = [];
  for (const arrival of createArrivals(experiment, { ...offer, seconds: 30, largeFactor })) {
    if (!arrival.isLarge) listed.push(JSON.stringify({ ...arrival, id: 0 }));
  }
  return listed;
}

describe('the requests of an experiment', () => {
  it('follow from the seed alone', () => {
    const arrivals = createArrivals(experiment, offer);
    expect(createArrivals(experiment, offer)).to.deep.equal(arrivals);
    expect(createArrivals(experiment, { ...offer, seed: 8 })).not.to.deep.equal(arrivals);
  });

  it('are the same for small teams whatever the large one offers', () => {
    expect(listSmall(5)).to.deep.equal(listSmall(0)).and.not.to.deep.equal([]);
  });

  it('ask for the wanted share of what the engines can do', () => {
    let workMs = 0;
    for (const arrival of createArrivals(experiment, offer)) {
      if (arrival.class !== 'service-call') workMs += requestCost(experiment, arrival.class);
    }
    const capacityMs = experiment.deployment.engines.count * offer.seconds * 1_000;
    expect(workMs / capacityMs).to.be.closeTo(offer.load, 0.09);
  });
});
