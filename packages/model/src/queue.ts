import type {Branded, JobId, ServiceName} from './id.js';

export type QueueName = Branded<'queue'>;

/** A stream of jobs whose tasks may be run again until each has succeeded. */
export interface QueueConfig {
  readonly name: QueueName;
  /** Whose targets run the tasks. */
  readonly service: ServiceName;
  /** Callers' requests name it by their host and the longest matching path. */
  readonly host: string;
  readonly path: string;
  /** 0 comes first. */
  readonly priority: number;
  /** Runs of one task that may fail before its job does. */
  readonly maxAttempts: number;
  /** How long a caller waits for an answer when it does not say, in ms. */
  readonly timeoutMs: number;
  readonly objective: CompletionObjective;
}

/** A job is due `stretch` times its longest chain of work, and `slackMs` more, after its submission. */
export interface CompletionObjective {
  readonly stretch: number;
  readonly slackMs: number;
}

/** What one run of a task holds of a target. */
export interface RoomDemand {
  readonly cpuMillis: number;
  readonly memoryMb: number;
  readonly accelerators: number;
}

/** Equal tasks of a job, which may run side by side. */
export interface JobStep {
  readonly count: number;
  readonly demand: RoomDemand;
  /** The caller's rough estimate of one task's run time, in ms. */
  readonly estimateMs: number;
  /** Steps that must be done before, as positions in the job's list. */
  readonly after: readonly number[];
  /** A label that the target must have. */
  readonly requiredLabel?: string;
  /** The rack that holds the task's data; slower elsewhere. */
  readonly dataRack?: string;
  /** Tasks of the step that may run on one target at a time. */
  readonly maxPerTarget?: number;
  /** Runs save checkpoints, from which a later run goes on. */
  readonly checkpoints: boolean;
}

/** A job of a queue, as its caller submitted it. */
export interface QueuedJob {
  readonly id: JobId;
  /** Handed to each run; opaque to the system. */
  readonly payload: string;
  readonly steps: readonly JobStep[];
}

/** One task of a queued job, and which of its runs. */
export interface RunRef {
  readonly job: JobId;
  readonly step: number;
  readonly index: number;
  /** Counts from 1 and grows with each run of the task. */
  readonly run: number;
}

/** How a run ended. Each but `succeeded` proves that nothing of it runs any more. */
export type RunEnd =
  | 'succeeded'
  /** By the task's own fault or the target's: it spends an attempt. */
  | 'failed'
  /** Ended by an order. */
  | 'stopped'
  /** Its lease ran out, or its target went away. */
  | 'lapsed'
  /** The target never began it. */
  | 'not-run'
  /** Its start was not answered; whether it began is not known, and it was stopped. */
  | 'unanswered'
  /** It made no progress and was stopped. */
  | 'stalled';
