import type {IncomingMessage, ServerResponse} from 'node:http';
import polka from 'polka';
import type {Capacity} from '#model';
import {LoopbackServer, readJson, sendJson} from './http.js';
import type {JournalLine} from './journal.js';
import {serveFault, type StandInBehaviour} from './behaviour.js';
import {parseWorkSpec, SimulatedWork} from './simulated-work.js';

export interface ExecutorOptions {
  readonly target: string;
  readonly port: number;
  readonly capacity: Extract<Capacity, {kind: 'executor'}>;
  readonly temper: StandInBehaviour;
}

interface RunBody {
  readonly job: string;
  readonly task: number;
  readonly payload: unknown;
}

/** A stand-in executor: an HTTP server with slots and a connection limit. */
export class ExecutorStandIn implements AsyncDisposable {
  private server!: LoopbackServer;
  private behaviour: StandInBehaviour;
  private running = 0;
  private started = 0;
  private refused = 0;
  private readonly activeWork = new Set<SimulatedWork>();

  private constructor(
    private readonly options: ExecutorOptions,
    private readonly record: (line: JournalLine) => void,
  ) {
    this.behaviour = options.temper;
  }

  static async listen(
    options: ExecutorOptions,
    record: (line: JournalLine) => void,
  ): Promise<ExecutorStandIn> {
    const standIn = new ExecutorStandIn(options, record);
    const app = polka()
      .get('/health', (_request, response) => sendJson(response, 200, {}))
      .get('/counts', (_request, response) =>
        sendJson(response, 200, standIn.count()),
      )
      .post('/fault', async (request, response) => {
        standIn.behaviour = await serveFault(
          request,
          response,
          standIn.behaviour,
        );
      })
      .post('/run', (request, response) => standIn.run(request, response));
    standIn.server = await LoopbackServer.listen(
      options.port,
      app.handler as never,
      options.capacity.maxConnections,
    );
    return standIn;
  }

  get target(): string {
    return this.options.target;
  }

  get url(): string {
    return this.server.url;
  }

  count() {
    return {
      started: this.started,
      running: this.running,
      refused: this.refused,
    };
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const work of this.activeWork) work.stop();
    await this.server[Symbol.asyncDispose]();
  }

  private async run(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = (await readJson(request)) as RunBody | undefined;
    if (typeof body?.job !== 'string' || typeof body.task !== 'number') {
      return sendJson(response, 400, {error: 'expected "job" and "task"'});
    }
    if (this.running >= this.options.capacity.slots) {
      this.refused += 1;
      return sendJson(response, 503, {error: 'every slot is taken'});
    }
    this.started += 1;
    this.running += 1;
    this.record({job: body.job, task: body.task, target: this.target});
    const spec = parseWorkSpec(body.payload);
    const fails = spec.fails || this.behaviour.failsAll;
    const work = new SimulatedWork(
      this.behaviour.failsAll ? 0 : spec.sleepMs * this.behaviour.speedFactor,
    );
    this.activeWork.add(work);
    const end = await work.ended;
    this.activeWork.delete(work);
    this.running -= 1;
    if (end === 'stopped') {
      return sendJson(response, 500, {error: 'the executor is closing'});
    }
    if (fails) return sendJson(response, 500, {error: 'the task failed'});
    sendJson(response, 200, {result: {echo: spec.echo}});
  }
}
