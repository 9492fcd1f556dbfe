import {setTimeout as sleep} from 'node:timers/promises';
import {monotonicClock} from '#model';
import {
  createMembers,
  type MemberChange,
  type Message,
  type ReplicaBounds,
} from '#consensus';
import {ReplicaHost, type StateMachine} from '#storage';
import {SimulatedDisk} from './simulated-disk.js';

const pollIntervalMs = 5;
const bounds: ReplicaBounds = {
  maxBatchBytes: 1000,
  maxInFlightBytes: 4000,
  maxInFlightBatches: 4,
  snapshotChunkBytes: 100,
  trailingEntries: 5,
  trailingBytes: Infinity,
};

/** Collects the commands that it applies, without duplicates. */
export class ListMachine implements StateMachine<string, number> {
  values: string[] = [];

  apply(entries: readonly {readonly command: string}[]): readonly number[] {
    return entries.map(({command}) => {
      const known = this.values.indexOf(command);
      return known < 0 ? this.values.push(command) : known + 1;
    });
  }

  takeSnapshot(): Uint8Array {
    return Buffer.from(JSON.stringify(this.values));
  }

  restoreSnapshot(data: Uint8Array): void {
    this.values = JSON.parse(Buffer.from(data).toString()) as string[];
  }
}

type Host = ReplicaHost<string, number>;

/** Replicas in this process that exchange messages through a simulated network. */
export class Cluster implements AsyncDisposable {
  readonly hosts = new Map<string, Host>();
  readonly machines = new Map<string, ListMachine>();
  readonly disks = new Map<string, SimulatedDisk>();
  /** Replicas whose incoming and outgoing messages are dropped. */
  readonly isolated = new Set<string>();

  static async start(ids: readonly string[]): Promise<Cluster> {
    const cluster = new Cluster();
    for (const id of ids) await cluster.startHost(id, ids);
    return cluster;
  }

  /** Starts a replica on its previous disk, if any; a new one joins unless voters are given. */
  async startHost(id: string, voters?: readonly string[]): Promise<Host> {
    const disk = this.disks.get(id) ?? new SimulatedDisk();
    const machine = new ListMachine();
    const members = voters?.map(voter => ({id: voter, address: `at ${voter}`}));
    const host = await ReplicaHost.start<string, number>({
      folder: '/data',
      id,
      ...(members && {bootstrap: createMembers(members)}),
      machine,
      disk,
      bounds,
      clock: monotonicClock,
      seed: id.charCodeAt(0),
      timing: {
        heartbeatIntervalMs: 40,
        electionTimeoutMs: 300,
        clockMarginMs: 10,
      },
      snapshotInterval: 20,
      send: (to, _address, message) => this.send(id, to, message),
    });
    this.disks.set(id, disk);
    this.machines.set(id, machine);
    this.hosts.set(id, host.unsafeCoerce());
    return host.unsafeCoerce();
  }

  async stopHost(id: string): Promise<void> {
    await this.hosts.get(id)?.[Symbol.asyncDispose]();
    this.hosts.delete(id);
  }

  /** Waits for a leader that is not isolated and returns it. */
  awaitLeader(): Promise<Host> {
    return this.awaitValue(
      () =>
        [...this.hosts.entries()].find(
          ([id, host]) =>
            !this.isolated.has(id) && host.describeStatus().role === 'leader',
        )?.[1],
    );
  }

  /** Waits until a function returns a value. The test's own timeout bounds it. */
  async awaitValue<Value>(get: () => Value | undefined): Promise<Value> {
    for (;;) {
      const value = get();
      if (value !== undefined) return value;
      await sleep(pollIntervalMs);
    }
  }

  /** Proposes a command to the current leader until it is committed. */
  async submit(command: string): Promise<number> {
    for (;;) {
      const leader = await this.awaitLeader();
      const outcome = await leader.propose(command);
      if (outcome.kind === 'committed') return outcome.result;
      await sleep(pollIntervalMs);
    }
  }

  async change(change: MemberChange): Promise<void> {
    for (;;) {
      const leader = await this.awaitLeader();
      const outcome = await leader.changeMembers(change);
      if (outcome.kind === 'committed') return;
      if (outcome.kind === 'refused' && outcome.reason === 'already-member') {
        return;
      }
      await sleep(pollIntervalMs);
    }
  }

  async awaitValues(id: string, count: number): Promise<readonly string[]> {
    return this.awaitValue(() => {
      const {values} = this.machines.get(id)!;
      return values.length === count ? values : undefined;
    });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const id of [...this.hosts.keys()]) await this.stopHost(id);
  }

  private send(from: string, to: string, message: Message): void {
    if (this.isolated.has(from) || this.isolated.has(to)) return;
    setImmediate(() => this.hosts.get(to)?.receive(from, message));
  }
}
