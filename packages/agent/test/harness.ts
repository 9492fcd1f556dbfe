import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import {connect as connectTcp, createServer as createTcpServer} from 'node:net';
import {pino} from 'pino';
import {Right} from 'purify-ts';
import {
  type Capacity,
  type Configuration,
  type Epoch,
  monotonicClock,
  type PlacementPolicy,
  type TaskResult,
  type TaskRef,
  type VersionedSource,
} from '#model';
import {
  type AnnounceParams,
  dialPeer,
  type Handlers,
  type Peer,
  PeerListener,
  type StartTask,
  type ViewUpdate,
} from '#protocol';
import type {AgentRole, ProcessSettings} from '#settings';
import {openMetrics} from '#telemetry';
import {Agent, Executor} from '#agent';

export const inMs = (ms: number) => monotonicClock.now() + ms;

/** Waits until a condition holds. */
export async function waitUntil(holds: () => boolean): Promise<void> {
  while (!holds()) await new Promise(resolve => setTimeout(resolve, 2));
}

/** Makes the parsed configuration of a test agent; the source that the fake control sends is empty. */
export function makeConfiguration(
  placement: PlacementPolicy,
  maxTaskMs: number,
  cores = 1,
): Configuration {
  return {
    services: [
      {
        name: 'tally',
        objective: {kind: 'response-time'},
        placement,
        demand: {cores, memoryMb: 256, accelerators: 0},
        maxTaskMs,
        maxPlacements: 3,
      },
    ],
    teams: [],
    regions: [],
    queues: [],
    limits: {
      maxTasksPerJob: 100,
      maxBodyBytes: 1e6,
      maxDeadlineMs: 60_000,
      retentionMs: 1000,
      unrepeatableRetentionMs: 1000,
      maxQueuedTasks: 1000,
    },
  };
}

const makeVersionedSource = (version: number): VersionedSource => ({
  version,
  changeId: String(version),
  author: 'test',
  source: {base: '', overlays: {}},
});

/** A control replica that accepts every request and records announcements. */
export class FakeControl implements AsyncDisposable {
  readonly announced: AnnounceParams[] = [];
  readonly withdrawn: string[] = [];
  renewals = 0;
  /** Answers renewals as if control no longer knew the target, until it is announced again. */
  ended = false;
  /** The leader's address; unset while this replica leads. */
  leader: string | undefined;
  version = 1;
  /** The committed version that replies contain; `version` when unset. */
  committed: number | undefined;
  evacuated: readonly string[] = [];
  listener!: PeerListener;

  static async open(address = '127.0.0.1:0'): Promise<FakeControl> {
    const control = new FakeControl();
    control.listener = (
      await PeerListener.listen(address, control.serve())
    ).unsafeCoerce();
    return control;
  }

  /** Sends a configuration of this version to all connected peers. */
  push(version: number): void {
    this.version = version;
    for (const peer of this.listener.peers) {
      peer.notify('watcher.update', this.makeView());
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.listener[Symbol.asyncDispose]();
  }

  private makeView(): ViewUpdate {
    const configuration = makeVersionedSource(this.version);
    return {
      kind: 'full',
      revision: this.version,
      view: {
        targets: [],
        gone: [],
        entries: [],
        ended: [],
        configuration,
        evacuated: this.evacuated,
      },
    };
  }

  private serve(): Handlers {
    const renewed = () => ({
      kind: 'done' as const,
      value: {
        kind: 'renewed' as const,
        leaseMs: 1000,
        configVersion: this.committed ?? this.version,
      },
    });
    return {
      'control.announce': params => {
        this.ended = false;
        this.announced.push(params);
        return renewed();
      },
      'control.renewTarget': () => {
        if (this.leader !== undefined) {
          return {kind: 'not-leader', leader: this.leader};
        }
        this.renewals++;
        if (this.ended) return {kind: 'done', value: {kind: 'ended'}};
        return renewed();
      },
      'control.withdraw': ({target}) => {
        this.withdrawn.push(target);
        return {kind: 'done', value: {}};
      },
      'control.watch': () => this.makeView(),
    };
  }
}

export type Serve = (
  body: {
    readonly job: string;
    readonly task: number;
    readonly payload: unknown;
  },
  response: ServerResponse,
  request: IncomingMessage,
) => void;

/** An HTTP target that records the requests it receives. */
export class FakeTarget implements AsyncDisposable {
  readonly seen: string[] = [];
  url = '';
  readonly server = createServer((request, response) =>
    this.receive(request, response),
  );

  constructor(private readonly serve: Serve = answer) {}

  async open(port = 0): Promise<this> {
    await new Promise<void>(resolve =>
      this.server.listen(port, '127.0.0.1', () => resolve()),
    );
    const bound = this.server.address() as {port: number};
    this.url = `http://127.0.0.1:${bound.port}`;
    return this;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.server.closeAllConnections();
    await new Promise(resolve => this.server.close(resolve));
  }

  private receive(request: IncomingMessage, response: ServerResponse): void {
    const chunks: Buffer[] = [];
    request.on('data', chunk => chunks.push(chunk));
    request.on('end', () => {
      if (request.url === '/health') {
        response.end();
        return;
      }
      const text = Buffer.concat(chunks).toString();
      const body = text === '' ? {} : JSON.parse(text);
      this.seen.push(
        request.url === '/run'
          ? `${body.job}.${body.task}`
          : `${request.method} ${request.url}`,
      );
      this.serve(body, response, request);
    });
  }
}

/** Responds at once with the payload as the result. */
export function answer(
  body: {readonly payload: unknown},
  response: ServerResponse,
): void {
  response.end(JSON.stringify({result: body.payload}));
}

export interface Harness {
  readonly control: FakeControl;
  readonly target: FakeTarget;
  readonly agent: Agent;
}

/** Opens a TCP proxy that can be told to drop everything sent to the client. */
export async function openDroppingProxy(address: string) {
  const {port} = new URL(`tcp://${address}`);
  let dropsReplies = false;
  const server = createTcpServer(client => {
    const upstream = connectTcp(Number(port), '127.0.0.1');
    client.on('data', chunk => upstream.write(chunk));
    upstream.on('data', chunk => void (dropsReplies || client.write(chunk)));
    client.on('error', () => {}).on('close', () => upstream.destroy());
    upstream
      .on('error', () => {})
      .on('close', () => dropsReplies || client.destroy());
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const bound = server.address() as {port: number};
  return {
    address: `127.0.0.1:${bound.port}`,
    dropReplies: () => (dropsReplies = true),
    close: () => server.close(),
  };
}

export interface HarnessOptions {
  readonly serve?: Serve;
  readonly placement?: PlacementPolicy;
  readonly slots?: number;
  readonly maxTaskMs?: number;
  readonly capacity?: Capacity;
  /** Cores that a task demands under a version of the configuration. */
  readonly chooseCores?: (version: number) => number;
}

export function makeSettings(
  control: string,
  url: string,
  capacity: Capacity,
): ProcessSettings<AgentRole> {
  return {
    id: 'target-1',
    place: {site: 's', region: 'r', failureDomain: 'd', rack: 'k'},
    controls: [control],
    logLevel: 'error',
    leases: {
      entryLeaseMs: 1000,
      targetLeaseMs: 1000,
      renewalIntervalMs: 20,
      clockMarginMs: 50,
    },
    role: {
      kind: 'agent',
      listen: '127.0.0.1:0',
      service: 'tally',
      capacity,
      url,
      drainMs: 5000,
    },
  };
}

export const silentRuntime = {
  log: pino({level: 'silent'}),
  metrics: openMetrics(undefined, {}),
  clock: monotonicClock,
};

export async function startAgent(
  settings: ProcessSettings<AgentRole>,
  url: string,
  configure = (_version: number) => makeConfiguration({kind: 'credit'}, 5000),
): Promise<Agent> {
  const started = await Agent.start({
    settings,
    target: new Executor(url, 8, 60_000),
    runtime: silentRuntime,
    incarnation: 7,
    readConfiguration: ({version}) => Right(configure(version)),
  });
  return started.unsafeCoerce();
}

/** Starts an agent between a fake control and a fake target, ready for entries. */
export async function openHarness(
  options: HarnessOptions = {},
): Promise<Harness> {
  const {placement = {kind: 'credit'}, slots = 4, maxTaskMs = 5000} = options;
  const {chooseCores = () => 1} = options;
  const {capacity = {kind: 'executor', slots, maxConnections: slots}} = options;
  const control = await FakeControl.open();
  const target = await new FakeTarget(options.serve).open();
  const agent = await startAgent(
    makeSettings(control.listener.address, target.url, capacity),
    target.url,
    version => makeConfiguration(placement, maxTaskMs, chooseCores(version)),
  );
  await waitUntil(() => agent.getStatus().slots > 0);
  return {control, target, agent};
}

export async function closeHarness(harness: Harness): Promise<void> {
  await harness.agent[Symbol.asyncDispose]();
  await harness.control[Symbol.asyncDispose]();
  await harness.target[Symbol.asyncDispose]();
}

/** An entry's connection to an agent; records the reports and counts the free grants. */
export class FakeEntry {
  readonly fates = new Map<string, TaskResult>();
  readonly reports: string[] = [];
  free = 0;
  peer!: Peer;

  private constructor(readonly epoch: Epoch) {}

  static async connect(
    harness: Pick<Harness, 'agent'>,
    epoch: Epoch,
    connection = 1,
    entry = `entry-${epoch}`,
    address = harness.agent.address,
  ): Promise<FakeEntry> {
    const fake = new FakeEntry(epoch);
    fake.peer = (
      await dialPeer(
        address,
        {
          'entry.grant': ({slots}) => void (fake.free += slots),
          'entry.recall': ({slots}, peer) => {
            const idle = Math.min(slots, fake.free);
            fake.free -= idle;
            if (idle > 0) peer.notify('agent.release', {slots: idle});
          },
          'entry.report': ({tasks, slots}) => {
            fake.free += slots;
            for (const {job, task, fate} of tasks) {
              fake.reports.push(`${job}.${task}`);
              fake.fates.set(`${job}.${task}`, fate);
            }
          },
        },
        inMs(5000),
      )
    ).unsafeCoerce();
    await fake.peer.request(
      'agent.hello',
      {entry, epoch, connection},
      inMs(5000),
    );
    return fake;
  }

  start(task: Partial<StartTask> = {}, waiting = 0): void {
    if (task.granted !== false) this.free--;
    this.peer.notify('agent.start', {tasks: [makeTask(task)], waiting});
  }

  async awaitFate(key: string): Promise<TaskResult> {
    await waitUntil(() => this.fates.has(key));
    return this.fates.get(key)!;
  }

  async query(...tasks: TaskRef[]) {
    const reply = await this.peer.request('agent.query', {tasks}, inMs(5000));
    return reply.unsafeCoerce().standings;
  }
}

export function makeTask(task: Partial<StartTask>): StartTask {
  return {
    job: 'a',
    task: 0,
    payload: 'p',
    remainingMs: 5000,
    keepMs: 5000,
    granted: true,
    ...task,
  };
}
