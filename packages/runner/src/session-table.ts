import type {Instant} from '#model';
import type {Peer, RunTicket, TargetLoad} from '#protocol';
import type {FreeRoom} from './load.js';
import type {Run} from './run.js';
import {chooseLoadInterval, type ClockReading, Session} from './session.js';

/** The dispatchers that have runs here, or may send some. */
export class SessionTable {
  private readonly sessions = new Map<string, Session>();

  constructor(
    private readonly readClocks: () => ClockReading,
    /** Stops a run that its dispatcher does not want any more. */
    private readonly stop: (run: Run) => void,
    /** A dispatcher has permitted its runs for another while. */
    private readonly onGranted: () => void,
  ) {}

  /**
   * Opens a dispatcher's session, or resumes it over a new connection with the runs that it
   * counts on. Throws when a later life of the dispatcher has attached.
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
    if (known !== undefined && known.life < life) this.stopAll(known);
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

  /** Asks a dispatcher for its permission if runs may not begin without; true when it is asked. */
  ensureCurrent(session: Session): boolean {
    const now = this.readClocks();
    return !session.canStart(now) && session.ask(now);
  }

  /** Takes a dispatcher's answer to a question for its permission. */
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

  /** True while every dispatcher with runs here permits them. */
  isCurrent(): boolean {
    const now = this.readClocks();
    for (const session of this.sessions.values()) {
      if (session.runs.size > 0 && !session.isCurrent(now)) return false;
    }
    return true;
  }

  /** Asks for permissions that are due; returns the sessions with runs whose permission has run out. */
  renew(): readonly Session[] {
    const expired: Session[] = [];
    const now = this.readClocks();
    for (const [name, session] of this.sessions) {
      if (session.runs.size === 0 && !session.peer.isOpen) {
        this.sessions.delete(name);
        continue;
      }
      session.ask(now);
      if (session.runs.size > 0 && !session.isPermitted(now)) {
        expired.push(session);
      }
    }
    return expired;
  }

  /**
   * Tells each dispatcher its ends and the load by the others. Returns for how long changes must
   * wait that are not told yet, in ms.
   */
  report(
    describe: (session: Session) => TargetLoad,
    free: FreeRoom,
  ): number | undefined {
    const now: Instant = this.readClocks().monotonic;
    const intervalMs = chooseLoadInterval(free.isTight, this.sessions.size);
    const waits: number[] = [];
    for (const session of this.sessions.values()) {
      const load = describe(session);
      const waitMs = session.report(load, free, intervalMs, now);
      if (waitMs !== undefined) waits.push(waitMs);
    }
    return waits.length === 0 ? undefined : Math.min(...waits);
  }

  private stopAll(session: Session): void {
    for (const run of [...session.runs.values()]) this.stop(run);
  }
}
