import type {TargetLoad} from '#protocol';
import type {FreeRoom} from './load.js';
import type {Session} from './session.js';
import type {SessionTable} from './session-table.js';

export interface ReporterOptions {
  readonly sessions: SessionTable;
  /** Describes the target's load as a session's dispatcher is to see it. */
  readonly describeLoad: (session: Session) => TargetLoad;
  readonly computeFreeRoom: () => FreeRoom;
}

/** Reports gather for this long, in ms: ends of one answer of the executor come together. */
const gatherMs = 2;

/** Tells dispatchers of ends and of changed loads, a little later and together. */
export class Reporter implements Disposable {
  private gathering: NodeJS.Timeout | undefined;
  /** Runs while a changed load is held back. */
  private holding: NodeJS.Timeout | undefined;

  constructor(private readonly options: ReporterOptions) {}

  /** Something may have changed. */
  schedule(): void {
    this.gathering ??= setTimeout(() => this.report(), gatherMs);
  }

  /** Reports what has gathered. */
  report(): void {
    this[Symbol.dispose]();
    this.gathering = undefined;
    const {sessions, describeLoad, computeFreeRoom} = this.options;
    const waitMs = sessions.report(describeLoad, computeFreeRoom());
    if (waitMs === undefined) return;
    this.holding = setTimeout(() => this.report(), waitMs);
  }

  [Symbol.dispose](): void {
    clearTimeout(this.gathering);
    clearTimeout(this.holding);
  }
}
