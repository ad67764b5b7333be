/**
 * A task owns some state and is spoken to only by messages. Messages are handled one at a time, in
 * order, and a handler never waits: it starts I/O and lets the result come back as another message.
 */

/** The sending side of a task. */
export interface Task<Message> {
  readonly name: string;
  /** Queues a message; it is handled after everything sent before it. */
  send(message: Message): void;
  /** Handles nothing further; queued messages are dropped. */
  stop(): void;
}

/** What a task is made of. */
export interface TaskDefinition<Message> {
  name: string;
  /** Handles one message. Runs to its end before the next message is looked at. */
  handle(message: Message): void;
  /** Hears of a handler that threw. The task goes on with the next message. */
  onError(error: unknown, message: Message): void;
}

/**
 * Starts a task.
 *
 * @param definition the task's name and handlers
 */
export function createTask<Message>(definition: TaskDefinition<Message>): Task<Message> {
  const queue: Message[] = [];
  let scheduled = false;
  let stopped = false;

  function drain(): void {
    scheduled = false;
    // Messages sent by a handler are appended and handled in this same pass.
    for (const message of queue) {
      if (stopped) break;
      handleOne(message);
    }
    queue.length = 0;
  }

  function handleOne(message: Message): void {
    try {
      definition.handle(message);
    } catch (error) {
      definition.onError(error, message);
    }
  }

  return {
    name: definition.name,
    send(message) {
      if (stopped) return;
      queue.push(message);
      if (scheduled) return;
      scheduled = true;
      queueMicrotask(drain);
    },
    stop() {
      stopped = true;
      queue.length = 0;
    },
  };
}
