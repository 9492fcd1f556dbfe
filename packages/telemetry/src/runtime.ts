import type {Clock} from '#model';
import type {Logger} from './log.js';
import type {Metrics} from './metrics.js';

/** What a role's process gets from its surroundings. */
export interface Runtime {
  readonly log: Logger;
  readonly metrics: Metrics;
  readonly clock: Clock;
  /** Aborted by the first SIGTERM or SIGINT: drain, then return. */
  readonly drain: AbortSignal;
  /** Aborted by the second one or by the drain deadline: stop at once. */
  readonly halt: AbortSignal;
}

/** A role's main function returns one of these; the process exits with it. */
export const exitCode = {
  ok: 0,
  /** The drain deadline passed with work left. */
  drainIncomplete: 1,
  usage: 2,
  settings: 3,
  /** An address is taken or a folder cannot be used. */
  environment: 4,
  /** A remote process refused or could not be reached. */
  remote: 5,
  /** The job was admitted and failed. */
  jobFailed: 6,
  /** Whether it was done is not known: ask again with the same key or change id. */
  unknown: 7,
  /** Another change of the configuration got there first. */
  conflict: 8,
  brokenInvariant: 70,
} as const;

export type ExitCode = (typeof exitCode)[keyof typeof exitCode];
