import type {Clock} from '#model';
import type {Logger, Metrics} from '#telemetry';
import type {ExecutorPort} from './executor.js';

export interface RunnerOptions {
  readonly log: Logger;
  readonly port: ExecutorPort;
  readonly metrics?: Metrics;
  readonly clock?: Clock;
  /** Reads the time of day in ms since 1970. */
  readonly readWall?: () => number;
  /** How long after its creation the runner waits for the first `setEvacuated` before it takes runs, in ms; unset: it doesn't wait. */
  readonly evacuationWaitMs?: number;
}
