import type {
  EntryId,
  Epoch,
  TargetInfo,
  TargetId,
  TaskFate,
  TaskRef,
  TaskStanding,
} from '#model';

/** Opens a connection from an entry to an agent and fences every older one of that entry. */
export interface HelloParams {
  readonly entry: EntryId;
  readonly epoch: Epoch;
  /** Grows with each connection of this epoch to this agent. */
  readonly connection: number;
}

export type HelloResult =
  | {
      readonly kind: 'welcome';
      readonly target: TargetInfo;
      readonly slots: number;
    }
  /** The epoch or the connection is older than one seen. */
  | {readonly kind: 'fenced'};

/** One task for an agent to start. */
export interface StartTask extends TaskRef {
  readonly payload: unknown;
  /** Until the job's deadline, in ms. */
  readonly remainingMs: number;
  /** How long after the deadline the agent keeps the task's fate, in ms. */
  readonly keepMs: number;
  /** Uses a slot that the agent granted. Otherwise the agent queues the task or refuses it. */
  readonly granted: boolean;
}

export interface StartParams {
  readonly tasks: readonly StartTask[];
  /** Tasks that still wait at the entry for a slot of this service. */
  readonly waiting: number;
}

/** Asks for slots: the agent grants each as it falls free, first come first served. */
export interface ReserveParams {
  readonly slots: number;
}

/** Gives granted slots back, or withdraws reservations not yet granted. */
export interface ReleaseParams {
  readonly slots: number;
}

/** Tells an agent how many tasks wait at the entry, so that it can move idle grants. */
export interface DemandParams {
  readonly waiting: number;
}

export interface TasksParams {
  readonly tasks: readonly TaskRef[];
}

/** In the order asked. A task reported `never-started` will never start for this epoch. */
export interface QueryResult {
  readonly standings: readonly TaskStanding[];
}

/** Bars epochs from starting anything more and hands what they started to the heir. */
export interface FenceParams {
  readonly epochs: readonly Epoch[];
  readonly heir: Epoch;
  /** Where the page begins: the last page's `next`, or 0. */
  readonly after: number;
}

export interface TaskRecord extends TaskRef {
  readonly standing: TaskStanding;
}

export interface FenceResult {
  readonly target: TargetId;
  readonly incarnation: number;
  /** A page of what the fenced epochs started here and that is still kept. */
  readonly tasks: readonly TaskRecord[];
  /** Where the next page begins; unset on the last one. */
  readonly next?: number;
}

export interface DrainParams {
  /** Running tasks may take this long, in ms. */
  readonly remainingMs: number;
}

export interface AgentStatus {
  readonly target: TargetInfo;
  readonly running: number;
  readonly slots: number;
  readonly queued: number;
  readonly started: number;
  readonly duplicates: number;
  readonly configVersion: number;
}

/** Slots that the receiving entry may use, beyond those it already has. */
export interface GrantParams {
  readonly slots: number;
}

/** Asks an entry to give back up to this many idle slots. */
export interface RecallParams {
  readonly slots: number;
}

export interface TaskReport extends TaskRef {
  readonly fate: TaskFate;
  /** From start to end at the target, in ms; 0 when it did not run. */
  readonly runMs: number;
}

/** Ends tasks. Carries slots granted anew, so that a busy entry needs no grant messages. */
export interface ReportParams {
  readonly tasks: readonly TaskReport[];
  readonly slots: number;
}
