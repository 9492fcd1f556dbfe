import type {Branded, JobId, ServiceName} from './id.js';

export type QueueName = Branded<'queue'>;

/** A queue of jobs whose tasks may be retried until each has succeeded. */
export interface QueueConfig {
  readonly name: QueueName;
  /** The service whose targets run the tasks. */
  readonly service: ServiceName;
  /** Requests are routed to a queue by their host and the longest matching path. */
  readonly host: string;
  readonly path: string;
  /** 0 is the highest priority. */
  readonly priority: number;
  /** Failed runs of one task after which its job fails. */
  readonly maxAttempts: number;
  /** Timeout of requests that state none, in ms. */
  readonly timeoutMs: number;
  readonly objective: CompletionObjective;
  /** What becomes of jobs that would end after they are due; `serve` when unset. */
  readonly lateJobs?: LateJobs;
  /** What becomes of urgent runs at a target that has filled up; `wait` when unset. */
  readonly urgentRuns?: UrgentRuns;
}

/** While work waits for targets, late jobs are served last, or avoided: refused at once. */
export type LateJobs = 'serve' | 'avoid';

/** Whether a run whose job would become late waits at a target that has filled up, or is returned to be placed elsewhere. */
export type UrgentRuns = 'wait' | 'return';

/** A job is due `stretch` times the length of its critical path plus `slackMs` after its submission. */
export interface CompletionObjective {
  readonly stretch: number;
  readonly slackMs: number;
}

/** The resources of a target that one run of a task holds. */
export interface ResourceRequest {
  readonly cpuMillis: number;
  readonly memoryMb: number;
  readonly accelerators: number;
}

/** Identical tasks of a job, which may run in parallel. */
export interface JobStep {
  readonly count: number;
  readonly demand: ResourceRequest;
  /** The caller's rough run time estimate for one task, in ms. */
  readonly estimateMs: number;
  /** Indices of the job's steps that must complete first. */
  readonly after: readonly number[];
  /** A label that the target must have. */
  readonly requiredLabel?: string;
  /** The rack that holds the task's data; runs elsewhere are slower. */
  readonly dataRack?: string;
  /** Tasks of the step that may run concurrently on one target. */
  readonly maxPerTarget?: number;
  /** Whether runs save checkpoints from which a later run resumes. */
  readonly checkpoints: boolean;
}

/** A job of a queue, as its caller submitted it. */
export interface QueuedJob {
  readonly id: JobId;
  /** Passed to each run; opaque to the system. */
  readonly payload: string;
  readonly steps: readonly JobStep[];
}

/** One run of a task of a queued job. */
export interface RunRef {
  readonly job: JobId;
  readonly step: number;
  readonly index: number;
  /** Starts at 1 and increases with each run of the task. */
  readonly run: number;
}

/** How a run ended. Every value but `succeeded` proves that no part of it is still running. */
export type RunEnd =
  | 'succeeded'
  /** The task or its target failed; counts as an attempt. */
  | 'failed'
  /** Stopped on request. */
  | 'stopped'
  /** Its lease expired, or its target was lost. */
  | 'lapsed'
  /** The target never started it. */
  | 'not-run'
  /** Its start request got no answer, so it may have started; it was stopped. */
  | 'unanswered'
  /** It made no progress and was stopped. */
  | 'stalled';
