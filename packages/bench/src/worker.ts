import type {IncomingMessage, ServerResponse} from 'node:http';
import polka from 'polka';
import type {Capacity, ResourceDemand} from '#model';
import {LoopbackServer, readJson, sendJson} from './http.js';
import type {JournalLine} from './journal.js';
import {serveFault, type StandInBehaviour} from './behaviour.js';
import {parseWorkSpec, SimulatedWork, type WorkSpec} from './simulated-work.js';

export interface WorkerOptions {
  readonly target: string;
  readonly port: number;
  readonly capacity: Extract<Capacity, {kind: 'worker'}>;
  readonly temper: StandInBehaviour;
  readonly usageLagMs: number;
}

interface TaskBody extends ResourceDemand {
  readonly job: string;
  readonly task: number;
  readonly payload: unknown;
  readonly leaseMs: number;
}

type TaskAction = 'lease' | 'throttle' | 'checkpoint' | 'stop';

interface RunningTask {
  readonly body: TaskBody;
  readonly spec: WorkSpec;
  readonly work: SimulatedWork;
  lease: NodeJS.Timeout;
  /** The cores in use, after throttling. */
  cores: number;
  checkpoint: unknown;
}

interface UsageReport {
  readonly takenAt: number;
  readonly tasks: readonly object[];
}

/** A stand-in worker with resource limits, task leases, throttling, checkpoints and delayed usage reports. */
export class WorkerStandIn implements AsyncDisposable {
  private server!: LoopbackServer;
  private behaviour: StandInBehaviour;
  private started = 0;
  private refused = 0;
  private stopped = 0;
  private throttled = 0;
  private checkpointed = 0;
  private readonly running = new Map<string, RunningTask>();
  private report: UsageReport = {takenAt: performance.now(), tasks: []};
  private readonly sampleTimer: NodeJS.Timeout;

  private constructor(
    private readonly options: WorkerOptions,
    private readonly record: (line: JournalLine) => void,
  ) {
    this.behaviour = options.temper;
    this.sampleTimer = setInterval(
      () => this.sampleUsage(),
      Math.max(1, options.usageLagMs),
    );
  }

  static async listen(
    options: WorkerOptions,
    record: (line: JournalLine) => void,
  ): Promise<WorkerStandIn> {
    const standIn = new WorkerStandIn(options, record);
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
      .get('/usage', (_request, response) =>
        sendJson(response, 200, standIn.describeUsage()),
      )
      .post('/tasks', (request, response) => standIn.run(request, response))
      .delete('/tasks/:id', (request, response) =>
        standIn.guard(String(request.params['id']), 'stop', request, response),
      );
    for (const action of ['lease', 'throttle', 'checkpoint'] as const) {
      app.post(`/tasks/:id/${action}`, (request, response) =>
        standIn.guard(String(request.params['id']), action, request, response),
      );
    }
    standIn.server = await LoopbackServer.listen(
      options.port,
      app.handler as never,
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
      running: this.running.size,
      refused: this.refused,
      stopped: this.stopped,
      throttled: this.throttled,
      checkpointed: this.checkpointed,
    };
  }

  async [Symbol.asyncDispose](): Promise<void> {
    clearInterval(this.sampleTimer);
    for (const task of this.running.values()) {
      clearTimeout(task.lease);
      task.work.stop();
    }
    await this.server[Symbol.asyncDispose]();
  }

  private async run(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = (await readJson(request)) as TaskBody | undefined;
    if (typeof body?.job !== 'string' || typeof body.task !== 'number') {
      return sendJson(response, 400, {error: 'expected "job" and "task"'});
    }
    if (!this.hasRoom(body)) {
      this.refused += 1;
      return sendJson(response, 503, {error: 'the worker is full'});
    }
    const id = `${body.job}.${body.task}`;
    const task = this.startTask(id, body);
    const end = await task.work.ended;
    clearTimeout(task.lease);
    if (this.running.get(id) === task) this.running.delete(id);
    if (end === 'stopped') {
      this.stopped += 1;
      const {checkpoint} = task;
      return sendJson(response, 409, {error: 'stopped', checkpoint});
    }
    if (task.spec.fails || this.behaviour.failsAll) {
      return sendJson(response, 500, {error: 'the task failed'});
    }
    sendJson(response, 200, {result: {echo: task.spec.echo}});
  }

  private startTask(id: string, body: TaskBody): RunningTask {
    this.started += 1;
    this.record({job: body.job, task: body.task, target: this.target});
    const spec = parseWorkSpec(body.payload);
    const work = new SimulatedWork(
      this.behaviour.failsAll ? 0 : spec.sleepMs * this.behaviour.speedFactor,
    );
    const task: RunningTask = {
      body,
      spec,
      work,
      lease: setTimeout(() => work.stop(), body.leaseMs),
      cores: spec.cores ?? body.cores,
      checkpoint: undefined,
    };
    this.running.set(id, task);
    return task;
  }

  private hasRoom(demand: ResourceDemand): boolean {
    const {capacity} = this.options;
    const bodies = [...this.running.values()].map(task => task.body);
    const sum = (part: keyof ResourceDemand) =>
      bodies.reduce((total, body) => total + body[part], demand[part]);
    return (
      sum('cores') <= capacity.cores &&
      sum('memoryMb') <= capacity.memoryMb &&
      sum('accelerators') <= capacity.accelerators
    );
  }

  /** Handles a request about a running task. */
  private async guard(
    id: string,
    action: TaskAction,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = (await readJson(request)) as
      {readonly leaseMs?: number; readonly cores?: number} | undefined;
    const task = this.running.get(id);
    if (task === undefined) {
      return sendJson(response, 404, {error: `no task "${id}"`});
    }
    switch (action) {
      case 'lease':
        clearTimeout(task.lease);
        task.lease = setTimeout(() => task.work.stop(), body?.leaseMs ?? 0);
        break;
      case 'throttle':
        this.throttled += 1;
        this.throttle(task, body?.cores ?? 0);
        break;
      case 'checkpoint':
        this.checkpointed += 1;
        task.checkpoint = {remainingMs: task.work.computeRemainingMs()};
        return sendJson(response, 200, {checkpoint: task.checkpoint});
      case 'stop':
        task.work.stop();
        break;
    }
    sendJson(response, 200, {});
  }

  /** Limits the task's cores and slows its work in proportion. */
  private throttle(task: RunningTask, cores: number): void {
    const wanted = task.spec.cores ?? task.body.cores;
    task.cores = Math.min(cores, wanted);
    task.work.adjustRate(wanted > 0 ? task.cores / wanted : 1);
  }

  private sampleUsage(): void {
    const tasks = [...this.running.values()].map(({body, spec, cores}) => ({
      job: body.job,
      task: body.task,
      cores,
      memoryMb: spec.memoryMb ?? body.memoryMb,
      accelerators: body.accelerators,
    }));
    this.report = {takenAt: performance.now(), tasks};
  }

  private describeUsage(): object {
    const ageMs = Math.ceil(performance.now() - this.report.takenAt);
    return {
      ageMs,
      tasks: this.report.tasks.map(task => ({...task, ageMs})),
    };
  }
}
