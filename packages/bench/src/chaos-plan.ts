import type {Fault} from './proxy.js';
import {Random} from './random.js';
import type {MemberRole} from './member.js';

/** A fault at a site, or an action of its operators, and its duration. */
export type Disruption =
  /** The process is killed and restarted after `forMs`. */
  | {readonly kind: 'kill'; readonly name: string; readonly forMs: number}
  /** The control replica that is leader at the time is killed and restarted after `forMs`. */
  | {readonly kind: 'kill-leader'; readonly forMs: number}
  /** The process is suspended for `forMs`, which may exceed its lease, then resumes. */
  | {readonly kind: 'pause'; readonly name: string; readonly forMs: number}
  /** The process drains on SIGTERM and is restarted `forMs` after it exits. */
  | {readonly kind: 'drain'; readonly name: string; readonly forMs: number}
  /** A fault on the links to a process, from one source or from all. */
  | {
      readonly kind: 'link';
      readonly to: string;
      readonly from?: string;
      readonly fault: Fault;
      readonly forMs: number;
    }
  /** Bytes on every link to and from a process are dropped; the sockets stay open. */
  | {readonly kind: 'isolate'; readonly name: string; readonly forMs: number}
  /** The open connections to a process drop all bytes permanently; new ones work. */
  | {readonly kind: 'lose-track'; readonly to: string}
  /** A target fails every task that it starts. */
  | {readonly kind: 'fail-all'; readonly target: string; readonly forMs: number}
  /** Operators concurrently apply configuration changes that are based on the same version. */
  | {readonly kind: 'race-config'; readonly operators: number};

export interface DisruptionStep {
  /** In ms from the start of the run. */
  readonly atMs: number;
  readonly disruption: Disruption;
}

export interface ChaosOptions {
  readonly seed: number;
  readonly disruptions: number;
  /** Disruptions start within this time, in ms. */
  readonly spanMs: number;
  /** The longest disruption, in ms. */
  readonly maxDisruptionMs: number;
  readonly names: Readonly<Record<MemberRole, readonly string[]>>;
}

const minDisruptionMs = 200;

/** Plans the disruptions of one run; equal options give equal plans. */
export function planChaos(options: ChaosOptions): readonly DisruptionStep[] {
  const random = new Random(options.seed);
  const steps = Array.from({length: options.disruptions}, () => ({
    atMs: random.pickInt(0, options.spanMs),
    disruption: planDisruption(options, random),
  }));
  return steps.sort((a, b) => a.atMs - b.atMs);
}

/** A kind that is listed more often is picked more often. */
const weightedKinds = [
  'kill',
  'kill',
  'kill-leader',
  'pause',
  'pause',
  'drain',
  'drain',
  'link',
  'link',
  'link',
  'isolate',
  'lose-track',
  'lose-track',
  'fail-all',
  'race-config',
  'race-config',
] as const;

function planDisruption(options: ChaosOptions, random: Random): Disruption {
  const {control, entry, agent} = options.names;
  const forMs = Math.round(
    random.pickLogUniform(minDisruptionMs, options.maxDisruptionMs),
  );
  const pickAny = () =>
    random.pickOne([
      random.pickOne(control),
      random.pickOne(entry),
      random.pickOne(agent),
    ]);
  const kind = random.pickOne(weightedKinds);
  switch (kind) {
    case 'kill':
    case 'pause':
    case 'drain':
    case 'isolate':
      return {kind, name: pickAny(), forMs};
    case 'kill-leader':
      return {kind, forMs};
    case 'link':
      return planLink(options, forMs, random);
    case 'lose-track':
      return {kind, to: pickAny()};
    case 'fail-all':
      return {kind, target: random.pickOne(agent), forMs};
    case 'race-config':
      return {kind, operators: random.pickInt(2, 4)};
  }
}

/**
 * Plans a fault on links that exist: entries dial agents, every process dials the controls, and
 * entries dial each other.
 */
function planLink(
  {names}: ChaosOptions,
  forMs: number,
  random: Random,
): Disruption {
  const {control, entry, agent} = names;
  const {to, sources} = random.pickOne([
    {to: random.pickOne(agent), sources: entry},
    {to: random.pickOne(control), sources: [...entry, ...agent]},
    {to: random.pickOne(control), sources: control},
    {to: random.pickOne(entry), sources: entry},
  ]);
  const others = sources.filter(name => name !== to);
  const from = random.pickBoolean(0.5) ? random.pickOne(others) : undefined;
  const fault = random.pickOne<Fault>([
    {kind: 'cut'},
    {kind: 'freeze'},
    {kind: 'delay', ms: random.pickInt(5, 200)},
    {kind: 'swallow', way: 'to-server'},
    {kind: 'swallow', way: 'to-client'},
    {kind: 'swallow', way: 'both'},
  ]);
  return {
    kind: 'link',
    to,
    ...(from !== undefined && {from}),
    fault,
    forMs,
  };
}

/** Describes a planned disruption in one line. */
export function describeDisruption({atMs, disruption}: DisruptionStep): string {
  const {kind, ...rest} = disruption;
  const details = Object.entries(rest).map(
    ([key, value]) =>
      `${key}=${typeof value === 'object' ? Object.values(value).join(' ') : value}`,
  );
  return `${String(atMs).padStart(6)} ms  ${kind} ${details.join(' ')}`;
}
