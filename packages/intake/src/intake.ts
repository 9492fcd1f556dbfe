import {type Clock, monotonicClock} from '#model';
import {defaultIntake, type IntakeSettings} from '#settings';
import {BodyAccount} from './account.js';
import {GarbageLimiter} from './garbage.js';
import {ConnectionTable, type Door} from './connections.js';

/** Why something that a client sent was refused, or its connection closed. */
export type RefusalCause =
  /** The body is larger than the door accepts. */
  | 'too-large'
  /** The body was slower than the settings allow. */
  | 'too-slow'
  /** Unfinished bodies held too much, and this one most. */
  | 'overloaded'
  /** More requests are open than the settings allow. */
  | 'requests'
  /** The connection has more open requests than the settings allow. */
  | 'pipelined'
  /** The connection was closed to make room for others. */
  | 'connections'
  /** The answers were not read. */
  | 'unread';

export interface IntakeOptions {
  readonly settings?: IntakeSettings;
  readonly onRefused?: (door: Door, cause: RefusalCause) => void;
  readonly clock?: Clock;
}

const sweepIntervalMs = 1000;

/** What one process takes in from clients at all its doors, within its settings. */
export class Intake implements Disposable {
  readonly settings: IntakeSettings;
  readonly bodies: BodyAccount;
  readonly connections: ConnectionTable;
  readonly onRefused: (door: Door, cause: RefusalCause) => void;
  readonly clock: Clock;
  readonly garbage = new GarbageLimiter();
  /** Requests without a complete answer. */
  requests = 0;
  private readonly sweepTimer: NodeJS.Timeout;

  constructor({
    settings = defaultIntake,
    onRefused = () => {},
    clock = monotonicClock,
  }: IntakeOptions = {}) {
    this.settings = settings;
    this.onRefused = onRefused;
    this.clock = clock;
    this.bodies = new BodyAccount(settings, this.garbage, clock);
    this.connections = new ConnectionTable(settings, onRefused);
    this.sweepTimer = setInterval(
      () => this.connections.closeUnread(clock.now()),
      sweepIntervalMs,
    ).unref();
  }

  /** What is held now, for metrics. */
  describe(): Readonly<Record<string, number>> {
    return {
      held_bytes: this.bodies.heldBytes,
      unfinished_bodies: this.bodies.unfinishedCount,
      connections: this.connections.size,
      requests: this.requests,
    };
  }

  [Symbol.dispose](): void {
    clearInterval(this.sweepTimer);
  }
}
