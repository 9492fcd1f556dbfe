import type {
  ResourceCapacity,
  ResourceRequest,
  RunEnd,
  ServiceName,
  TargetId,
} from '#model';

/** Identifies a run within one session of a dispatcher and a runner. Assigned by the dispatcher, never reused. */
export type RunTicket = number;

export interface AttachRunnerParams {
  readonly dispatcher: string;
  /** Increases at each start of the dispatcher. */
  readonly life: number;
  /** Runs that the dispatcher expects; the runner stops all its other runs. */
  readonly tickets: readonly RunTicket[];
}

export interface AttachRunnerResult {
  readonly target: TargetId;
  readonly incarnation: number;
  readonly service: ServiceName;
  /** Unset by runners of builds that do not report it; control's view tells it then. */
  readonly capacity?: ResourceCapacity;
  /** Tickets of the request whose runs have ended here or never arrived. */
  readonly ended: readonly RunEndRow[];
  readonly load: TargetLoad;
}

/** Load of a target that comes from dispatchers other than the receiver. */
export interface TargetLoad {
  /** False while the target accepts no runs because it is leaving or not responding. */
  readonly open: boolean;
  readonly cpuMillis: number;
  readonly memoryMb: number;
  readonly accelerators: number;
  /** Ratio of recent run times to callers' estimates; 1 before the first run. */
  readonly slowness: number;
  /** Share of recent runs that failed, from 0 to 1. */
  readonly failing: number;
  /** The highest rank among runs that wait for capacity, in ms from now; unset if none waits. */
  readonly waitingRankMs?: number;
}

/** What a target's executor runs now. Control's view may still describe the executor before it. */
export interface ExecutorDescription {
  readonly service: ServiceName;
  readonly capacity: ResourceCapacity;
}

/** Runs of tasks of one step of one job. */
export interface RunBatch {
  readonly job: string;
  readonly payload: string;
  readonly step: number;
  readonly demand: ResourceRequest;
  /** The service that the tasks are for; unset by dispatchers of builds that do not send it. */
  readonly service?: ServiceName;
  /** The label that the executor must have when a run starts. */
  readonly requiredLabel?: string;
  readonly estimateMs: number;
  /** Runs that wait for capacity start in order of rank, lowest first. In ms from now, so that dispatchers' clocks need not agree. */
  readonly rankMs: number;
  /** False when runs for which the target has no free capacity are to be returned at once; they wait there when unset. */
  readonly mayWait?: boolean;
  /** Ticket, index of the task within the step, and run number of the task. */
  readonly runs: readonly (readonly [RunTicket, number, number])[];
}

export interface PlaceRunsParams {
  readonly batches: readonly RunBatch[];
}

export interface WithdrawRunsParams {
  readonly tickets: readonly RunTicket[];
  /** Withdraws only runs that have certainly not started. */
  readonly waitingOnly?: boolean;
}

/** Ticket, end state and run time in ms. */
export type RunEndRow = readonly [RunTicket, RunEnd, number];

export interface ReportRunsParams {
  readonly ends: readonly RunEndRow[];
  readonly load: TargetLoad;
  /** Set when it has changed since the dispatcher attached or was last told. */
  readonly executor?: ExecutorDescription;
  /** Number of a request to extend the dispatcher's permission for its runs. */
  readonly question?: number;
}

/** Permits a dispatcher's runs for a fixed time, counted from when the question was asked. */
export interface PermitRunsParams {
  readonly question: number;
}

/**
 * Asks the runner to stop the runs of a job that other dispatcher processes placed, and from now on to
 * accept runs of the job only from the requesting one. An earlier process of the same dispatcher is another one.
 */
export interface ClearJobParams {
  readonly job: string;
  /** The requesting dispatcher, which need not be attached; unset by builds that attach first. */
  readonly dispatcher?: string;
  /** Its process, as in `runner.attach`. */
  readonly life?: number;
}
