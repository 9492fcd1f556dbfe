import type {Fault} from './proxy.js';
import {Random} from './random.js';
import type {MemberRole} from './member.js';

/** Something that goes wrong at a site, or that its operators do, and for how long. */
export type Trouble =
  /** The process dies and is started again after `forMs`. */
  | {readonly kind: 'kill'; readonly name: string; readonly forMs: number}
  /** The same for the control replica that leads at the time. */
  | {readonly kind: 'kill-leader'; readonly forMs: number}
  /** The process stands still past its lease, then goes on. */
  | {readonly kind: 'pause'; readonly name: string; readonly forMs: number}
  /** The process is asked to stop and is started again `forMs` after its end. */
  | {readonly kind: 'drain'; readonly name: string; readonly forMs: number}
  /** A fault on the links to a process, from one other or from all. */
  | {
      readonly kind: 'link';
      readonly to: string;
      readonly from?: string;
      readonly fault: Fault;
      readonly forMs: number;
    }
  /** Every link to and from a process is cut silently. */
  | {readonly kind: 'isolate'; readonly name: string; readonly forMs: number}
  /** The open connections to a process go silent for good while new ones work. */
  | {readonly kind: 'lose-track'; readonly to: string}
  /** A target fails whatever it starts. */
  | {readonly kind: 'fail-all'; readonly target: string; readonly forMs: number}
  /** Operators apply changes that build on the same version. */
  | {readonly kind: 'race-config'; readonly operators: number};

export interface TroubleStep {
  /** From the start of the run. */
  readonly atMs: number;
  readonly trouble: Trouble;
}

export interface ChaosOptions {
  readonly seed: number;
  readonly troubles: number;
  /** When the last trouble may begin, in ms. */
  readonly spanMs: number;
  /** The longest that a trouble lasts, in ms. */
  readonly maxTroubleMs: number;
  readonly names: Readonly<Record<MemberRole, readonly string[]>>;
}

const minTroubleMs = 200;

/** Plans the troubles of one run; the same options give the same plan. */
export function planChaos(options: ChaosOptions): readonly TroubleStep[] {
  const random = new Random(options.seed);
  const steps = Array.from({length: options.troubles}, () => ({
    atMs: random.pickInt(0, options.spanMs),
    trouble: planTrouble(options, random),
  }));
  return steps.sort((a, b) => a.atMs - b.atMs);
}

const kinds = [
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

function planTrouble(options: ChaosOptions, random: Random): Trouble {
  const {control, entry, agent} = options.names;
  const forMs = Math.round(
    random.pickLogUniform(minTroubleMs, options.maxTroubleMs),
  );
  const pickAny = () =>
    random.pickOne([
      random.pickOne(control),
      random.pickOne(entry),
      random.pickOne(agent),
    ]);
  const kind = random.pickOne(kinds);
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

/** Who dials whom: entries dial agents, all dial the controls, entries and controls their like. */
function planLink(
  {names}: ChaosOptions,
  forMs: number,
  random: Random,
): Trouble {
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

/** Says a trouble in one line. */
export function describeTrouble({atMs, trouble}: TroubleStep): string {
  const {kind, ...rest} = trouble;
  const details = Object.entries(rest).map(
    ([key, value]) =>
      `${key}=${typeof value === 'object' ? Object.values(value).join(' ') : value}`,
  );
  return `${String(atMs).padStart(6)} ms  ${kind} ${details.join(' ')}`;
}
