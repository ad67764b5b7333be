import { expect } from 'chai';
import { createSeededRandom, createTask, wait } from '../../src/task/index.js';
import { createFakeClock, settle } from '../fixtures/fake-clock.js';

describe('a task', () => {
  function start(handle: (message: number) => void) {
    const errors: number[] = [];
    const task = createTask<number>({
      name: 'counting',
      handle,
      onError: (_error, message) => errors.push(message),
    });
    return { task, errors };
  }

  it('handles messages one at a time, in the order sent', async () => {
    const handled: number[] = [];
    const { task } = start((message) => {
      if (message < 3) task.send(message + 10);
      handled.push(message);
    });
    task.send(1);
    task.send(2);
    expect(handled).to.deep.equal([]);
    await settle();
    expect(handled).to.deep.equal([1, 2, 11, 12]);
  });

  it('goes on after a handler threw', async () => {
    const handled: number[] = [];
    const { task, errors } = start((message) => {
      if (message === 1) throw new Error('no');
      handled.push(message);
    });
    task.send(1);
    task.send(2);
    await settle();
    expect([errors, handled]).to.deep.equal([[1], [2]]);
  });

  it('drops what is queued when it is stopped', async () => {
    const handled: number[] = [];
    const { task } = start((message) => {
      handled.push(message);
      task.stop();
    });
    task.send(1);
    task.send(2);
    await settle();
    task.send(3);
    await settle();
    expect(handled).to.deep.equal([1]);
  });
});

describe('time and chance', () => {
  it('wait on the clock that is given', async () => {
    const { clock, advance } = createFakeClock();
    let isOver = false;
    void wait(clock, 100).then(() => {
      isOver = true;
    });
    await advance(99);
    expect(isOver).to.equal(false);
    await advance(1);
    await settle();
    expect(isOver).to.equal(true);
  });

  it('give the same numbers for the same seed, from 0 to below 1', () => {
    const [first, second] = [createSeededRandom(7), createSeededRandom(7)];
    for (let index = 0; index < 1_000; index++) {
      const drawn = first.next();
      expect(drawn).to.equal(second.next());
      expect(drawn).to.be.within(0, 1 - Number.EPSILON);
    }
  });
});
