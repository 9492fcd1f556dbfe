import {pino} from 'pino';
import {type Either, Right} from 'purify-ts';
import {type ConfigurationSource, monotonicClock, type Location} from '#model';
import type {ReplicaStatus} from '#consensus';
import {
  type Admission,
  dialPeer,
  type ParamsOf,
  type RpcFailure,
  type ViewUpdate,
  type WatchParams,
} from '#protocol';
import {
  ControlClient,
  type ControlFailure,
  type ControlRequest,
  type ControlValue,
  type View,
} from '#membership';
import type {ControlRole, ProcessSettings} from '#settings';
import {openMetrics} from '#telemetry';
import {Control, createInMemoryReplica} from '#control';

export const place: Location = {
  site: 'gilgit',
  region: 'north',
  failureDomain: 'a',
  rack: 'r1',
};

/** Far enough away to be reached only when a test hangs. */
export const createDeadline = () => monotonicClock.now() + 20_000;

export const createJobId = (digit: string) => digit.repeat(32);

export const createAdmission = (
  name: string,
  epoch: number,
  digest = 'd',
): Admission => ({
  job: createJobId(name),
  digest: createJobId(digest),
  epoch,
  tasks: 3,
  unrepeatable: false,
  ticket: 0,
  startMs: 30_000,
  keepMs: 60_000,
});

export const source = {
  base: '[limits]\nmax_tasks_per_job = 170\n',
  overlays: {},
};

export const runtime = {
  log: pino({level: 'silent'}),
  metrics: openMetrics(undefined, {}),
  clock: monotonicClock,
};

export function createSettings(
  id: string,
  role: Partial<ControlRole> = {},
): ProcessSettings<ControlRole> {
  return {
    id,
    place,
    controls: [],
    logLevel: 'error',
    leases: {
      entryLeaseMs: 600,
      targetLeaseMs: 600,
      renewalIntervalMs: 100,
      clockMarginMs: 50,
    },
    role: {
      kind: 'control',
      listen: '127.0.0.1:0',
      data: '',
      members: [],
      join: false,
      ...role,
    },
  };
}

export function describeFailure(
  reply: Either<ControlFailure, unknown>,
): string {
  return reply.swap().unsafeCoerce().detail;
}

/** A control client with helpers for tests; its requests throw on failure. */
export class TestClient implements AsyncDisposable {
  private readonly listeners = new Set<() => void>();
  private timer: NodeJS.Timeout | undefined;
  revisions: number[] = [];

  constructor(readonly client: ControlClient) {}

  async request<Name extends ControlRequest>(
    method: Name,
    params: ParamsOf<Name>,
  ): Promise<ControlValue<Name>> {
    const reply = await this.client.request(method, params, createDeadline());
    return reply
      .ifLeft(failure => {
        throw new Error(`${method}: ${failure.kind}: ${failure.detail}`);
      })
      .unsafeCoerce();
  }

  open(entry: string) {
    const address = '127.0.0.1:9';
    return this.request('control.openEntry', {entry, address, place});
  }

  /** Waits until the group has at least this configuration version. */
  async awaitVersion(version: number): Promise<void> {
    for (;;) {
      const {current} = await this.request('control.configStatus', {});
      if (current.version >= version) return;
    }
  }

  /** Promotes a learner once it has caught up. */
  async promote(member: string): Promise<void> {
    const params = {change: 'promote', member} as const;
    for (;;) {
      const reply = await this.client.request(
        'control.changeMembers',
        params,
        createDeadline(),
      );
      if (reply.isRight()) return;
      const detail = describeFailure(reply);
      if (!detail.includes('not-caught-up')) throw new Error(detail);
    }
  }

  keepAlive(entry: string, epoch: number): void {
    const params = {entry, epoch, configVersion: 1};
    this.timer = setInterval(() => {
      void this.client.request('control.renewEntry', params, createDeadline());
    }, 100);
  }

  follow(topics: WatchParams['topics']): void {
    this.client.watch(topics, ({revision}) => {
      this.revisions.push(revision);
      for (const listener of this.listeners) listener();
    });
  }

  /** Waits until the view is as expected. */
  async awaitView(expect: (view: View) => boolean): Promise<View> {
    while (!expect(this.client.view)) {
      await new Promise<void>(resolve => {
        this.listeners.clear();
        this.listeners.add(resolve);
      });
    }
    return this.client.view;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    clearInterval(this.timer);
    await this.client[Symbol.asyncDispose]();
  }
}

/** A single control replica that stores no log, and its clients. */
export class TestControl implements AsyncDisposable {
  private readonly clients: TestClient[] = [];

  constructor(readonly control: Control) {}

  connect(): TestClient {
    const {address} = this.control;
    const client = new TestClient(new ControlClient({controls: [address]}));
    this.clients.push(client);
    return client;
  }

  /** Asks for the view as a process that has just started does. */
  async watchFromStart(): Promise<Either<RpcFailure, ViewUpdate>> {
    return this.watch({since: 0, topics: 'all'});
  }

  /** Asks for the update of a watcher at a revision. */
  async watchSince(
    since: number,
    topics: WatchParams['topics'],
  ): Promise<ViewUpdate> {
    return (await this.watch({since, topics})).unsafeCoerce();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const client of this.clients) await client[Symbol.asyncDispose]();
    await this.control[Symbol.asyncDispose]();
  }

  private async watch(
    params: WatchParams,
  ): Promise<Either<RpcFailure, ViewUpdate>> {
    const {address} = this.control;
    const dialled = await dialPeer(address, {}, createDeadline());
    const peer = dialled.unsafeCoerce();
    const reply = await peer.request('control.watch', params, createDeadline());
    peer.close('watched');
    return reply;
  }
}

/** By default the group is the origin of configuration and has no regions. */
export interface TestControlOptions {
  readonly region?: string;
  readonly upstream?: readonly string[];
  readonly configuration?: ConfigurationSource;
  /** Log time at the start, in ms. */
  readonly logTimeMs?: number;
  /** Changes the status that the replica reports. */
  readonly adjustStatus?: (status: ReplicaStatus) => ReplicaStatus;
}

export async function openTestControl(
  options: TestControlOptions = {},
): Promise<TestControl> {
  const {region = place.region, upstream, configuration = source} = options;
  const {adjustStatus = status => status, logTimeMs = 0} = options;
  const settings = createSettings('c1', upstream && {upstream});
  const opened = await Control.open({
    settings: {...settings, place: {...place, region}},
    configuration,
    runtime,
    startReplica: async ({id, address, machine}) => {
      const replica = createInMemoryReplica(id, address, machine);
      if (logTimeMs > 0) {
        await replica.propose({kind: 'forget', time: logTimeMs});
      }
      const describeStatus = () => adjustStatus(replica.describeStatus());
      return Right({...replica, describeStatus});
    },
  });
  return new TestControl(opened.unsafeCoerce());
}
