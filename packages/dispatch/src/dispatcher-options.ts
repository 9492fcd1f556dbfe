import type {View} from '#membership';
import type {Address, Clock, Instant, ServiceName, TargetId} from '#model';
import type {LocalityPolicy} from '#policy';
import type {Logger, Metrics} from '#telemetry';

export interface DispatcherOptions {
  readonly id: string;
  /** The target on the dispatcher's own host; undefined for a dispatcher without one. */
  readonly localTarget?: TargetId;
  /** Identifies this start of the process; increases with each start. */
  readonly life: number;
  /** When it began to take claims, and earlier processes at its address had ended; by default, when it is created. */
  readonly startedAt?: Instant;
  readonly failureDomain: string;
  /** Where it listens for other dispatchers; undefined when it is the only one. */
  readonly address?: Address;
  /** Lists the addresses of a service's dispatchers; by default, those of its homes. */
  readonly listDispatchers?: (
    view: View,
    service: ServiceName,
  ) => readonly Address[];
  readonly log: Logger;
  readonly metrics?: Metrics;
  readonly clock?: Clock;
  /** How tasks are placed near their data; unset: without waiting. */
  readonly locality?: LocalityPolicy;
  /** Returns this process's event loop lag in ms. */
  readonly readLagMs?: () => number;
}
