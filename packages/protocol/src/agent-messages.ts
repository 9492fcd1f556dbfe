import type {
  EntryId,
  Epoch,
  ServiceName,
  TargetInfo,
  TargetId,
  TaskResult,
  TaskRef,
  TaskStatus,
} from '#model';

/** Opens a connection from an entry to an agent and fences all older connections of that entry. */
export interface HelloParams {
  readonly entry: EntryId;
  readonly epoch: Epoch;
  /** Increases with each connection of this epoch to this agent. */
  readonly connection: number;
}

export type HelloResult =
  | {
      readonly kind: 'welcome';
      readonly target: TargetInfo;
      readonly slots: number;
    }
  /** The agent has seen a newer epoch or connection. */
  | {readonly kind: 'fenced'};

export interface StartTask extends TaskRef {
  /** The service whose target may run the task; unset by entries that do not send it. */
  readonly service?: ServiceName;
  readonly payload: unknown;
  /** Time until the job's deadline, in ms. */
  readonly remainingMs: number;
  /** How long the agent keeps the task's outcome after the deadline, in ms. */
  readonly keepMs: number;
  /** True if the task uses a granted slot. Otherwise the agent queues or refuses it. */
  readonly granted: boolean;
}

export interface StartParams {
  readonly tasks: readonly StartTask[];
  /** Tasks that are still queued at the entry for a slot of this service. */
  readonly waiting: number;
}

/** Requests slots, which the agent grants in order of request as they become free. */
export interface ReserveParams {
  readonly slots: number;
}

/** Returns granted slots, or withdraws reservations that are not granted yet. */
export interface ReleaseParams {
  readonly slots: number;
}

/** Reports the number of tasks queued at the entry, so that the agent can reassign idle grants. */
export interface DemandParams {
  readonly waiting: number;
}

export interface TasksParams {
  readonly tasks: readonly TaskRef[];
}

/** States in the order requested. A task reported as `never-started` will never start for this epoch. */
export interface QueryResult {
  readonly standings: readonly TaskStatus[];
}

/** Prevents epochs from starting more tasks and transfers their started tasks to the successor (`heir`). */
export interface FenceParams {
  readonly epochs: readonly Epoch[];
  readonly heir: Epoch;
  /** Start of the page: `next` of the previous page, or 0. */
  readonly after: number;
}

export interface TaskRecord extends TaskRef {
  readonly standing: TaskStatus;
}

export interface FenceResult {
  readonly target: TargetId;
  readonly incarnation: number;
  /** One page of the tasks that the fenced epochs started here and the agent still keeps. */
  readonly tasks: readonly TaskRecord[];
  /** Start of the next page; unset on the last page. */
  readonly next?: number;
}

export interface DrainParams {
  /** Time that running tasks have to finish, in ms. */
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

/** Slots that the receiving entry may use in addition to those it already has. */
export interface GrantParams {
  readonly slots: number;
}

/** Asks an entry to return up to this many idle slots. */
export interface RecallParams {
  readonly slots: number;
}

export interface TaskReport extends TaskRef {
  readonly fate: TaskResult;
  /** Run time at the target, in ms; 0 if the task did not run. */
  readonly runMs: number;
}

/** Reports ended tasks. Includes newly granted slots, so that a busy entry needs no grant messages. */
export interface ReportParams {
  readonly tasks: readonly TaskReport[];
  readonly slots: number;
}
