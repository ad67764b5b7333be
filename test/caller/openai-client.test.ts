import { expect } from 'chai';
import OpenAI, {
  AuthenticationError,
  BadRequestError,
  InternalServerError,
  NotFoundError,
  PermissionDeniedError,
} from 'openai';
import { expectedAnswer } from '../../stand-ins/index.js';
import { keyOf, MODEL, startCluster, waitUntil, type Cluster } from '../fixtures/cluster.js';

const QUESTION = 'Is 1-3-4-2 the firing order?';
const messages = [{ role: 'user' as const, content: QUESTION }];
const chatAnswer = expectedAnswer(MODEL, `user: ${QUESTION}`, 256).text;

describe('the openai client', () => {
  let cluster: Cluster;
  let client: OpenAI;

  function createClient(team: string): OpenAI {
    const baseURL = `${cluster.nodes[0]?.origin ?? ''}/v1`;
    return new OpenAI({ baseURL, apiKey: keyOf(team), maxRetries: 0 });
  }

  before(async () => {
    cluster = await startCluster({ nodes: 2 });
    client = createClient('kumasi');
  });

  after(() => cluster.stop());

  it('gets a complete chat answer with usage', async () => {
    const answer = await client.chat.completions.create({ model: MODEL, messages });
    expect(answer.choices[0]?.message.content).to.equal(chatAnswer);
    expect(answer.choices[0]?.finish_reason).to.equal('stop');
    expect(answer.usage?.completion_tokens).to.equal(chatAnswer.split(' ').length);
  });

  it('gets a streamed chat answer, with usage if requested', async () => {
    const stream_options = { include_usage: true };
    const stream = await client.chat.completions.create({
      ...{ model: MODEL, messages, temperature: 0.2 },
      stream: true,
      stream_options,
    });
    const texts: string[] = [];
    let total = 0;
    for await (const chunk of stream) {
      texts.push(chunk.choices[0]?.delta.content ?? '');
      total = chunk.usage?.total_tokens ?? total;
    }
    expect(texts.join('')).to.equal(chatAnswer);
    expect(texts.length).to.be.greaterThan(10);
    expect(total).to.be.greaterThan(texts.length - 2);
  });

  it('gets a text completion truncated at max_tokens', async () => {
    const answer = await client.completions.create({
      ...{ model: MODEL, prompt: QUESTION, max_tokens: 5 },
    });
    const expected = expectedAnswer(MODEL, QUESTION, 5);
    expect(answer.choices[0]).to.include({ text: expected.text, finish_reason: 'length' });
  });

  it('selects an adapter as model:adapter, if an engine group lists it', async () => {
    const answer = await client.completions.create({ model: `${MODEL}:torque`, prompt: QUESTION });
    expect(answer.choices[0]?.finish_reason).to.equal('stop');
    const unknown = await failureOf(
      client.completions.create({ model: `${MODEL}:rust`, prompt: QUESTION }),
    );
    expect(unknown).to.be.instanceOf(NotFoundError).and.to.include({ code: 'unknown-model' });
  });

  it('cancels the generation and the request in flight when it aborts', async () => {
    const abort = new AbortController();
    const prompt = 'Copy this chamber log out. [[answer:20000]]';
    const stream = await client.completions.create(
      { model: MODEL, prompt, max_tokens: 20_000, stream: true },
      { signal: abort.signal },
    );
    let chunks = 0;
    for await (const chunk of stream) {
      chunks += chunk.choices.length;
      if (chunks >= 3) abort.abort();
    }
    const entries = () => cluster.engines.flatMap((engine) => engine.entries());
    await waitUntil('the engine has stopped', () =>
      entries().some(({ event }) => event === 'cancel' || event === 'disconnect'),
    );
    await waitUntil('nothing is in flight', async () => {
      const status = await cluster.nodes[0]?.status();
      return status?.node.inFlight === 0;
    });
  });

  it('maps failures to its error classes', async () => {
    const create = (model: string, team: string) =>
      failureOf(createClient(team).chat.completions.create({ model, messages }));
    expect(await create(MODEL, 'nobody')).to.be.instanceOf(AuthenticationError);
    expect(await create(MODEL, 'unbound')).to.be.instanceOf(PermissionDeniedError);
    expect(await create('nothing', 'kumasi')).to.be.instanceOf(NotFoundError);
    const malformed = await failureOf(
      client.chat.completions.create({ model: MODEL, messages, n: 2 }),
    );
    expect(malformed).to.be.instanceOf(BadRequestError).and.to.include({ param: 'n' });
  });

  it('must not retry what may have run, and gets no [DONE] after a broken stream', async () => {
    for (const engine of cluster.engines) {
      engine.setFault({ kind: 'break-mid-stream', afterTokens: 3 });
    }
    const headers = { 'x-reedtally-class': 'once' };
    const broken = await failureOf(
      client.completions.create({ model: MODEL, prompt: QUESTION }, { headers }),
    );
    expect(broken).to.be.instanceOf(InternalServerError);
    expect(broken).to.include({ code: 'answer-incomplete' });
    expect(broken.headers?.get('x-should-retry')).to.equal('false');

    const response = await client.completions
      .create({ model: MODEL, prompt: QUESTION, stream: true }, { headers })
      .asResponse();
    const events = await response.text();
    expect(events).to.contain('"code":"answer-incomplete"').and.to.contain('"outcome":"unknown"');
    expect(events).not.to.contain('[DONE]');
    for (const engine of cluster.engines) {
      engine.setFault({ kind: 'none' });
    }
  });

  it('lists the models of its team', async () => {
    const names = async (team: string) => {
      const page = await createClient(team).models.list();
      return page.data.map(({ id }) => id);
    };
    expect(await names('kumasi')).to.deep.equal([MODEL]);
    expect(await names('unbound')).to.deep.equal([]);
  });
});

async function failureOf(answer: Promise<unknown>): Promise<InstanceType<typeof OpenAI.APIError>> {
  try {
    await answer;
  } catch (error) {
    if (error instanceof OpenAI.APIError) return error;
    throw error;
  }
  throw new Error('expected a failure');
}
