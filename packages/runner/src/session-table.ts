import type {Instant} from '#model';
import type {ExecutorDescription, Peer, RunTicket, TargetLoad} from '#protocol';
import type {FreeCapacity} from './load.js';
import type {Run} from './run.js';
import {
  chooseLoadInterval,
  type ClockReading,
  type DispatcherProcess,
  Session,
} from './session.js';

/** The sessions of dispatchers that have runs here or may place some. */
export class SessionTable {
  private readonly sessions = new Map<string, Session>();
  /** Sessions of earlier dispatcher processes whose runs have not all ended. */
  private readonly replaced = new Set<Session>();

  constructor(
    private readonly readClocks: () => ClockReading,
    /** Stops a run that its dispatcher no longer needs. */
    private readonly stop: (run: Run) => void,
    /** Called when a dispatcher has renewed its permission. */
    private readonly onGranted: () => void,
  ) {}

  /**
   * Opens a dispatcher's session, or resumes it over a new connection and stops its runs that are
   * not in `tickets`. `life` identifies the dispatcher process: a later one replaces the session of
   * an earlier one and stops its runs. Throws when a later one has attached.
   */
  attach(
    dispatcher: string,
    life: number,
    tickets: readonly RunTicket[],
    peer: Peer,
  ): Session {
    const now = this.readClocks().monotonic;
    const known = this.sessions.get(dispatcher);
    if (known !== undefined && known.life > life) {
      throw new Error(`a later life of dispatcher "${dispatcher}" is attached`);
    }
    if (known !== undefined && known.life < life) this.replace(known);
    const resumed = known?.life === life ? known : undefined;
    const session = resumed ?? new Session(dispatcher, life, peer, now);
    this.sessions.set(dispatcher, session);
    if (resumed === undefined) return session;
    resumed.resume(peer, now);
    const wanted = new Set(tickets);
    for (const run of [...resumed.runs.values()]) {
      if (!wanted.has(run.ticket)) this.stop(run);
    }
    return resumed;
  }

  /** Requests a dispatcher's permission if its runs may not start without a new one; true when it is requested. */
  ensurePermission(session: Session): boolean {
    const now = this.readClocks();
    return !session.canStart(now) && session.requestPermission(now);
  }

  /** Handles a dispatcher's answer to a permission request. */
  grant(question: number, peer: Peer): void {
    if (this.find(peer)?.grant(question) === true) this.onGranted();
  }

  /** Finds the session that is bound to a connection. */
  find(peer: Peer): Session | undefined {
    for (const session of this.sessions.values()) {
      if (session.peer === peer) return session;
    }
    return undefined;
  }

  /** True when a later process of the same dispatcher has attached. */
  isReplaced({dispatcher, life}: DispatcherProcess): boolean {
    const known = this.sessions.get(dispatcher);
    return known !== undefined && known.life > life;
  }

  /**
   * True while every run that is, or may be, at the executor has a current permission. Only then may a request
   * be sent that extends the executor's lease, which holds for all its runs.
   */
  isCurrent(): boolean {
    const now = this.readClocks();
    for (const session of [...this.sessions.values(), ...this.replaced]) {
      if (session.hasSentRuns && !session.isCurrent(now)) return false;
    }
    return true;
  }

  /**
   * Requests permissions that are due and drops disconnected sessions without runs. Returns the sessions
   * with runs whose permission has expired.
   */
  renew(): readonly Session[] {
    const expired: Session[] = [];
    for (const session of this.replaced) {
      if (session.runs.size === 0) this.replaced.delete(session);
    }
    const now = this.readClocks();
    for (const [name, session] of this.sessions) {
      if (session.runs.size === 0 && !session.peer.isOpen) {
        this.sessions.delete(name);
        continue;
      }
      session.requestPermission(now);
      if (session.runs.size > 0 && !session.isPermitted(now)) {
        expired.push(session);
      }
    }
    return expired;
  }

  /**
   * Reports to each dispatcher the ends of its runs, the load from the others, and the executor if it has changed. Returns the time
   * until the next delayed change may be reported, in ms; undefined when none is delayed.
   */
  report(
    describe: (session: Session) => TargetLoad,
    free: FreeCapacity,
    executor: ExecutorDescription | undefined,
  ): number | undefined {
    const now: Instant = this.readClocks().monotonic;
    const intervalMs = chooseLoadInterval(
      free.isNearlyFull,
      this.sessions.size,
    );
    const delaysMs: number[] = [];
    for (const session of this.sessions.values()) {
      const load = describe(session);
      const waitMs = session.report({load, free, executor}, intervalMs, now);
      if (waitMs !== undefined) delaysMs.push(waitMs);
    }
    return delaysMs.length === 0 ? undefined : Math.min(...delaysMs);
  }

  /** Stops the runs of an earlier process, and keeps its session until they have ended. */
  private replace(session: Session): void {
    for (const run of [...session.runs.values()]) this.stop(run);
    if (session.runs.size > 0) this.replaced.add(session);
  }
}
