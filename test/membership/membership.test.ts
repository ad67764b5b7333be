import { expect } from 'chai';
import { createEmptyGossipMessage } from '../../src/membership/index.js';
import {
  createEntryVm,
  createNetwork,
  nameOf,
  type NetworkNode,
} from '../fixtures/membership-network.js';

const COUNT = 50;

function expectAllKnow(nodes: readonly NetworkNode[], count: number): void {
  for (const { membership } of nodes) {
    expect(membership.aliveNames()).to.have.length(count);
  }
}

describe('membership of many nodes', () => {
  let network: ReturnType<typeof createNetwork>;

  beforeEach(() => {
    network = createNetwork();
  });

  afterEach(() => {
    network.stop();
  });

  it('makes every node known to every other, over few links each', async () => {
    const nodes = await network.start(COUNT);
    expectAllKnow(nodes, COUNT);
    await network.advance(10_000);
    expectAllKnow(nodes, COUNT);
    for (const { membership } of nodes) {
      const partners = nodes.filter(({ name }) => membership.isPartner(name));
      expect(partners.length).to.be.at.most(40);
    }
  });

  it('makes a node known to one that linked it first and was known to it by hearsay', async () => {
    const second = network.add(nameOf(0));
    const first = network.add(nameOf(1));
    await second.membership.start();
    const states = [first.membership.own()];
    second.membership.receive('nobody', { ...createEmptyGossipMessage(), states });
    await first.membership.start();
    await network.advance(1_000);
    expectAllKnow([first, second], 2);
  });

  it('sends no more per node when there are more nodes', async () => {
    const nodes = await network.start(COUNT);
    await network.advance(5_000);
    const before = nodes.map(({ sent }) => sent);
    await network.advance(10_000);
    for (const [index, { sent }] of nodes.entries()) {
      expect(sent - (before[index] ?? 0)).to.be.at.most(40 * 40);
    }
  });

  it('has every node hear within two seconds that one is silent', async () => {
    const nodes = await network.start(COUNT);
    const [gone, ...rest] = nodes;
    if (gone === undefined) throw new Error('no node');
    network.kill(gone);
    await network.advance(2_000);
    expectAllKnow(rest, COUNT - 1);
  });

  it('takes back a suspicion of a node whose link to one partner alone is cut', async () => {
    const nodes = await network.start(COUNT);
    const [first, ...rest] = nodes;
    const cut = rest.find(({ name }) => first?.membership.isPartner(name) === true);
    if (first === undefined || cut === undefined) throw new Error('no partner');
    const pair = new Set([first.name, cut.name]);
    network.control.passes = (from, to) => !(pair.has(from) && pair.has(to));
    await network.advance(3_000);
    expectAllKnow(nodes, COUNT);
  });

  it('survives the loss of a zone', async () => {
    const nodes = await network.start(COUNT);
    const lost = nodes.filter((_node, index) => index % 9 === 0);
    for (const node of lost) network.kill(node);
    await network.advance(3_000);
    const rest = nodes.filter(({ up }) => up);
    expectAllKnow(rest, COUNT - lost.length);
  });

  it('finds together again after two parts have long forgotten each other', async () => {
    network = createNetwork({ heartbeatEveryMs: 2_000, suspectAfterMs: 4_100 });
    const count = 36;
    for (let index = 0; index < count; index++) network.list.vms.push(createEntryVm(nameOf(index)));
    const nodes = await network.start(count);
    await network.advance(20_000);
    expectAllKnow(nodes, count);
    const isLeft = (name: string) => Number(name.slice(-3)) < count / 2;
    network.control.passes = (from, to) => isLeft(from) === isLeft(to);
    await network.advance(260_000);
    expectAllKnow(nodes, count / 2);
    network.control.passes = () => true;
    await network.advance(60_000);
    expectAllKnow(nodes, count);
  }).timeout(60_000);

  it('tells all who holds a shard, who gave it up, and that a restarted holder does not', async () => {
    const nodes = await network.start(COUNT);
    const holder = nodes[7];
    const far = nodes.find(({ name }) => holder?.membership.isPartner(name) === false);
    if (holder === undefined || far === undefined) throw new Error('no node');
    const summary = {
      shard: 'manuals',
      holder: holder.name,
      fence: 1,
      sequence: 1,
      waiting: 0,
      servers: [],
    };
    const hears = async () => {
      await network.advance(1_000);
      far.heard.length = 0;
      await network.advance(500);
      return far.heard.length > 0;
    };
    holder.shards = [summary];
    holder.membership.announce();
    expect(await hears()).to.equal(true);
    holder.shards = [];
    holder.membership.announce();
    expect(await hears()).to.equal(false);
    holder.shards = [{ ...summary, fence: 2 }];
    holder.membership.announce();
    expect(await hears()).to.equal(true);
    network.kill(holder);
    const again = network.add(holder.name, `${holder.name}/2`);
    await again.membership.start();
    expect(await hears()).to.equal(false);
    expect(far.membership.isAlive(holder.name)).to.equal(true);
  });

  it('makes two nodes that are replaced at nearly the same time known to each other', async () => {
    for (let apartMs = 0; apartMs < 500; apartMs += 25) {
      const few = createNetwork();
      const [first, second, third] = await few.start(3);
      if (first === undefined || second === undefined || third === undefined) throw new Error();
      await few.advance(1_000);
      few.kill(first);
      few.kill(second);
      await few.advance(200);
      const newFirst = few.add(first.name, `${first.name}/2`);
      await newFirst.membership.start();
      await few.advance(apartMs);
      const newSecond = few.add(second.name, `${second.name}/2`);
      await newSecond.membership.start();
      await few.advance(5_000);
      const seen = newFirst.membership.find(second.name)?.incarnation;
      expect(seen, `${apartMs} ms apart`).to.equal(`${second.name}/2`);
      expect(newSecond.membership.find(first.name)?.incarnation).to.equal(`${first.name}/2`);
      few.stop();
    }
  });

  it('tells all how far the configuration has come everywhere', async () => {
    const nodes = await network.start(COUNT);
    for (const node of nodes) {
      node.version = 7;
      node.membership.announce();
    }
    await network.advance(3_000);
    for (const { membership } of nodes) {
      for (const state of membership.alive()) expect(state.configurationVersion).to.equal(7);
    }
  });

  it('reads the list of VMs no oftener together than few nodes would, and all hear of a change', async () => {
    const nodes = await network.start(COUNT);
    await network.advance(20_000);
    const before = network.list.reads;
    await network.advance(20_000);
    expect(network.list.reads - before).to.be.at.most(16 * 20 + COUNT);
    network.list.vms = [createEntryVm(nameOf(0))];
    await network.advance(2_000);
    for (const node of nodes) expect(node.listed).to.have.length(1);
    network.list.vms = [createEntryVm(nameOf(0)), createEntryVm(nameOf(1))];
    await network.advance(2_000);
    for (const node of nodes) expect(node.listed).to.have.length(2);
  });
});
