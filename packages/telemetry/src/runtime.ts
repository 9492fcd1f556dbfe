import type {Intake} from '#intake';
import type {Clock} from '#model';
import type {Logger} from './log.js';
import type {Metrics} from './metrics.js';

/** The environment that a role's main function runs in. */
export interface Runtime {
  readonly log: Logger;
  readonly metrics: Metrics;
  readonly clock: Clock;
  /** Limits what the process takes in; each door by itself when omitted. */
  readonly intake?: Intake;
  /** Aborted by the first SIGTERM or SIGINT: drain, then return. */
  readonly drain: AbortSignal;
  /** Aborted by the second signal or at the drain deadline: stop at once. */
  readonly halt: AbortSignal;
}

/** Exit codes of the process, as returned by a role's main function. */
export const exitCode = {
  ok: 0,
  /** The drain deadline passed with work unfinished. */
  drainIncomplete: 1,
  usage: 2,
  settings: 3,
  /** An address is in use, or a folder is not usable. */
  environment: 4,
  /** A remote process refused the request or was unreachable. */
  remote: 5,
  /** The job was admitted and failed. */
  jobFailed: 6,
  /** The outcome is unknown: retry with the same key or change id. */
  unknown: 7,
  /** Another configuration change was accepted first. */
  conflict: 8,
  brokenInvariant: 70,
} as const;

export type ExitCode = (typeof exitCode)[keyof typeof exitCode];
