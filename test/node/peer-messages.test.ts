import { expect } from 'chai';
import type { EventName } from '../../src/events/index.js';
import type { Notice } from '../../src/links/index.js';
import { createPeerMessages } from '../../src/node/peer-messages.js';
import { settle } from '../fixtures/fake-clock.js';

const push: Notice = { kind: 'configuration.push', changes: [] };

function setUp(receive: () => void) {
  const heard: string[] = [];
  const events: EventName[] = [];
  const messages = createPeerMessages({
    node: 'n1',
    incarnation: 'i1',
    log: {
      write: (event) => {
        events.push(event);
      },
    },
    membership: () => ({}) as never,
    held: () => ({ find: () => undefined }),
    replica: () => ({
      receive: () => {
        heard.push('push');
        receive();
      },
      caughtUp: () => {
        throw new Error('broken');
      },
      changesAfter: () => {
        heard.push('fetch');
        return { changes: [], newest: 0, compacted: false };
      },
    }),
    limitHome: () => ({}) as never,
    requestStatuses: { find: () => undefined },
  });
  return { messages, heard, events };
}

describe('messages of other nodes', () => {
  it('are handled in the order in which they came, notices and queries alike', async () => {
    const { messages, heard } = setUp(() => undefined);
    messages.noticeReceived('n2', push);
    const answer = messages.queryReceived('n2', { kind: 'configuration.fetch', after: 0 });
    messages.noticeReceived('n2', push);
    expect((await answer).kind).to.equal('configuration.changes');
    await settle();
    expect(heard).to.deep.equal(['push', 'fetch', 'push']);
  });

  it('that cannot be handled are logged, answered as such, and harm no other', async () => {
    const { messages, heard, events } = setUp(() => {
      if (heard.length === 1) throw new Error('broken');
    });
    messages.noticeReceived('n2', push);
    messages.noticeReceived('n2', push);
    const wish = { kind: 'permit.request', shard: 's', configurationVersion: 1 } as never;
    expect(await messages.queryReceived('n2', wish)).to.deep.equal({ kind: 'done' });
    expect(heard).to.deep.equal(['push', 'push']);
    expect(events).to.deep.equal(['taskFailed', 'taskFailed']);
  });
});
