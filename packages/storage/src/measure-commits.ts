import {join} from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {build as buildHistogram} from 'hdr-histogram-js';
import PQueue from 'p-queue';
import {type Clock, monotonicClock} from '#model';
import {createMembers} from '#consensus';
import {describeStoreError} from './error.js';
import {ReplicaHost} from './replica-host.js';

/** How proposals reach the log: as they arrive, or each after the previous one is committed. */
export type CommitMode = 'grouped' | 'one-by-one';

/** The load: closed-loop callers that each wait for their previous commit, or open-loop arrivals at a constant rate. */
export type CommitLoad =
  | {readonly kind: 'callers'; readonly callers: number}
  | {readonly kind: 'rate'; readonly perSecond: number};

export interface CommitMeasurementOptions {
  /** The folder in which the replicas' data folders are created; must be empty. */
  readonly folder: string;
  readonly replicas: number;
  readonly mode: CommitMode;
  readonly load: CommitLoad;
  readonly commands: number;
  readonly commandBytes: number;
}

export interface CommitStatistics {
  readonly commitsPerSecond: number;
  /** Latency from proposal to commit, in ms. */
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly maxMs: number;
  /** CPU time of all replicas, which share this process, divided by the elapsed time. */
  readonly cores: number;
}

const pollIntervalMs = 5;
const arrivalIntervalMs = 1;

type Host = ReplicaHost<Uint8Array, null>;

/** Measures commits of a group whose replicas share this process, each with its own data folder. */
export async function measureCommits(
  options: CommitMeasurementOptions,
): Promise<CommitStatistics> {
  const hosts = await startHosts(options);
  const leader = await awaitLeader(hosts);
  const latenciesUs = buildHistogram({numberOfSignificantValueDigits: 3});
  const queue = new PQueue({
    concurrency: options.mode === 'grouped' ? Infinity : 1,
  });
  const command = Buffer.alloc(options.commandBytes, 7);
  const propose = async () => {
    const proposedAt = monotonicClock.now();
    const result = await queue.add(() => leader.propose(command));
    if (result.kind !== 'committed') {
      throw new Error(`expected a commit, got ${result.kind}`);
    }
    latenciesUs.recordValue(1000 * (monotonicClock.now() - proposedAt));
  };
  const startedAt = monotonicClock.now();
  const cpuAtStart = process.cpuUsage();
  await applyLoad(options, propose);
  const {user, system} = process.cpuUsage(cpuAtStart);
  const seconds = (monotonicClock.now() - startedAt) / 1000;
  for (const host of hosts) await host[Symbol.asyncDispose]();
  return {
    commitsPerSecond: options.commands / seconds,
    p50Ms: latenciesUs.getValueAtPercentile(50) / 1000,
    p99Ms: latenciesUs.getValueAtPercentile(99) / 1000,
    maxMs: latenciesUs.maxValue / 1000,
    cores: (user + system) / 1e6 / seconds,
  };
}

async function applyLoad(
  {load, commands}: CommitMeasurementOptions,
  propose: () => Promise<void>,
): Promise<void> {
  if (load.kind === 'callers') {
    let remaining = commands;
    const callRepeatedly = async () => {
      while (remaining-- > 0) await propose();
    };
    await Promise.all(Array.from({length: load.callers}, callRepeatedly));
    return;
  }
  const startedAt = monotonicClock.now();
  const proposals: Promise<void>[] = [];
  while (proposals.length < commands) {
    const elapsedMs = monotonicClock.now() - startedAt;
    const dueCount = Math.min(commands, (load.perSecond * elapsedMs) / 1000);
    while (proposals.length < dueCount) proposals.push(propose());
    await sleep(arrivalIntervalMs);
  }
  await Promise.all(proposals);
}

async function startHosts({
  folder,
  replicas,
}: CommitMeasurementOptions): Promise<readonly Host[]> {
  const ids = Array.from({length: replicas}, (_, i) => `r${i}`);
  const members = createMembers(ids.map(id => ({id, address: id})));
  const hosts = new Map<string, Host>();
  for (const [i, id] of ids.entries()) {
    const host = await ReplicaHost.start<Uint8Array, null>({
      folder: join(folder, id),
      id,
      bootstrap: members,
      machine: {
        apply: entries => entries.map(() => null),
        takeSnapshot: () => Buffer.alloc(0),
        restoreSnapshot: () => {},
      },
      clock: monotonicClock satisfies Clock,
      seed: i,
      send: (to, _address, message) =>
        setImmediate(() => hosts.get(to)?.receive(id, message)),
    });
    const started = host.mapLeft(describeStoreError);
    if (started.isLeft()) throw new Error(String(started.extract()));
    hosts.set(id, started.unsafeCoerce());
  }
  return [...hosts.values()];
}

async function awaitLeader(hosts: readonly Host[]): Promise<Host> {
  for (;;) {
    const leader = hosts.find(host => host.describeStatus().role === 'leader');
    if (leader) return leader;
    await sleep(pollIntervalMs);
  }
}
