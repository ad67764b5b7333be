import { expect } from 'chai';
import { setPeerTimeout, createSeededRandom, createTask, wait } from '../../src/task/index.js';
import { createFakeClock, settle } from '../fixtures/fake-clock.js';
import { createLateClock } from '../fixtures/late-clock.js';

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

describe('waiting for a silent peer', () => {
  it('ends when the time is over', () => {
    const { clock, runAt } = createLateClock();
    let silent = 0;
    setPeerTimeout(clock, 40, () => (silent += 1));
    runAt(41);
    expect(silent).to.equal(1);
  });

  it('reads what has arrived first where the process itself stood still', () => {
    const { clock, runAt } = createLateClock();
    let silent = 0;
    const timer = setPeerTimeout(clock, 40, () => (silent += 1));
    runAt(4_000);
    expect(silent).to.equal(0);
    timer.cancel();
    runAt(5_000);
    expect(silent).to.equal(0);
  });

  it('still ends where nothing has arrived', () => {
    const { clock, runAt } = createLateClock();
    let silent = 0;
    setPeerTimeout(clock, 40, () => (silent += 1));
    runAt(4_000);
    runAt(4_030);
    expect(silent).to.equal(1);
  });
});
