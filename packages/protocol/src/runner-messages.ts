import type {RoomDemand, RunEnd, ServiceName, TargetId} from '#model';

/** Names a run within one session of a dispatcher and a runner. Chosen by the dispatcher, never reused. */
export type RunTicket = number;

export interface AttachRunnerParams {
  readonly dispatcher: string;
  /** Differs at each start of the dispatcher, and grows. */
  readonly life: number;
  /** Runs that the dispatcher counts on; the runner stops its others. */
  readonly tickets: readonly RunTicket[];
}

export interface AttachRunnerResult {
  readonly target: TargetId;
  readonly incarnation: number;
  readonly service: ServiceName;
  /** Tickets of the request that are over here, and those that never came. */
  readonly ended: readonly RunEndRow[];
  readonly load: TargetLoad;
}

/** What a target is busy with on behalf of other dispatchers than the one that is told. */
export interface TargetLoad {
  /** False while the target takes no runs: it leaves, or does not answer. */
  readonly open: boolean;
  readonly cpuMillis: number;
  readonly memoryMb: number;
  readonly accelerators: number;
  /** Recent run time over what callers estimated; 1 before any. */
  readonly slowness: number;
  /** Share of recent runs that failed, from 0 to 1. */
  readonly failing: number;
  /** The highest rank of a run that waits for room, in ms from now; unset while none waits. */
  readonly waitingRankMs?: number;
}

/** Tasks of one step of one job. */
export interface RunBatch {
  readonly job: string;
  readonly payload: string;
  readonly step: number;
  readonly demand: RoomDemand;
  readonly estimateMs: number;
  /** Where several wait for room, the lowest goes first. In ms from now, so that dispatchers' clocks do not matter. */
  readonly rankMs: number;
  /** Ticket, index and run number. */
  readonly runs: readonly (readonly [RunTicket, number, number])[];
}

export interface PlaceRunsParams {
  readonly batches: readonly RunBatch[];
}

export interface WithdrawRunsParams {
  readonly tickets: readonly RunTicket[];
  /** Leaves alone what may have begun. */
  readonly waitingOnly?: boolean;
}

/** Ticket, how the run ended, and its run time in ms. */
export type RunEndRow = readonly [RunTicket, RunEnd, number];

export interface ReportRunsParams {
  readonly ends: readonly RunEndRow[];
  readonly load: TargetLoad;
  /** Asks for the dispatcher's permission to run its runs for longer; each is numbered. */
  readonly question?: number;
}

/** Permits a dispatcher's runs for a known time, counted from when the question was asked. */
export interface PermitRunsParams {
  readonly question: number;
}

/** Asks that nothing of a job runs here for any dispatcher but the asking one. */
export interface ClearJobParams {
  readonly job: string;
}
