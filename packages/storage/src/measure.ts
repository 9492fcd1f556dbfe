import {join} from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {build as buildHistogram} from 'hdr-histogram-js';
import PQueue from 'p-queue';
import {type Clock, monotonicClock} from '#model';
import {createMembers} from '#consensus';
import {describeStoreError} from './error.js';
import {ReplicaHost} from './host.js';

/** How proposals reach the log: as they come, or each after the one before it is committed. */
export type CommitMode = 'grouped' | 'one-by-one';

/** Who proposes: callers that each wait for their last commit, or arrivals at a steady rate. */
export type CommitLoad =
  | {readonly kind: 'callers'; readonly callers: number}
  | {readonly kind: 'rate'; readonly perSecond: number};

export interface CommitMeasurement {
  /** Where the replicas' data folders are made; must be empty. */
  readonly folder: string;
  readonly replicas: number;
  readonly mode: CommitMode;
  readonly load: CommitLoad;
  readonly commands: number;
  readonly commandBytes: number;
}

export interface CommitFigures {
  readonly commitsPerSecond: number;
  /** From the proposal to its commit, in ms. */
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly maxMs: number;
  /** Processor time of all replicas, which share this process, over the time that passed. */
  readonly cores: number;
}

const pollIntervalMs = 5;
const paceIntervalMs = 1;

type Host = ReplicaHost<Uint8Array, null>;

/** Measures commits of a group whose replicas share this process and have a folder each. */
export async function measureCommits(
  measurement: CommitMeasurement,
): Promise<CommitFigures> {
  const hosts = await startHosts(measurement);
  const leader = await awaitLeader(hosts);
  const histogram = buildHistogram({numberOfSignificantValueDigits: 3});
  const queue = new PQueue({
    concurrency: measurement.mode === 'grouped' ? Infinity : 1,
  });
  const command = Buffer.alloc(measurement.commandBytes, 7);
  const propose = async () => {
    const began = monotonicClock.now();
    const result = await queue.add(() => leader.propose(command));
    if (result.kind !== 'committed') {
      throw new Error(`expected a commit, got ${result.kind}`);
    }
    histogram.recordValue(1000 * (monotonicClock.now() - began));
  };
  const began = monotonicClock.now();
  const cpuBegan = process.cpuUsage();
  await applyLoad(measurement, propose);
  const {user, system} = process.cpuUsage(cpuBegan);
  const seconds = (monotonicClock.now() - began) / 1000;
  for (const host of hosts) await host[Symbol.asyncDispose]();
  return {
    commitsPerSecond: measurement.commands / seconds,
    p50Ms: histogram.getValueAtPercentile(50) / 1000,
    p99Ms: histogram.getValueAtPercentile(99) / 1000,
    maxMs: histogram.maxValue / 1000,
    cores: (user + system) / 1e6 / seconds,
  };
}

async function applyLoad(
  {load, commands}: CommitMeasurement,
  propose: () => Promise<void>,
): Promise<void> {
  if (load.kind === 'callers') {
    let left = commands;
    const call = async () => {
      while (left-- > 0) await propose();
    };
    await Promise.all(Array.from({length: load.callers}, call));
    return;
  }
  const began = monotonicClock.now();
  const proposals: Promise<void>[] = [];
  while (proposals.length < commands) {
    const elapsedMs = monotonicClock.now() - began;
    const due = Math.min(commands, (load.perSecond * elapsedMs) / 1000);
    while (proposals.length < due) proposals.push(propose());
    await sleep(paceIntervalMs);
  }
  await Promise.all(proposals);
}

async function startHosts({
  folder,
  replicas,
}: CommitMeasurement): Promise<readonly Host[]> {
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
