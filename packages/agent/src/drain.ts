import type {Clock, Instant} from '#model';

/** The state of the agent that a drain depends on. */
export interface DrainContext {
  readonly clock: Clock;
  /** True when nothing runs and every outcome was sent. */
  readonly isIdle: () => boolean;
  /** True while an entry is connected. */
  readonly hasSessions: () => boolean;
  /** True while an entry that lost its connection may reconnect to query lost reports. */
  readonly hasPendingReconnects: () => boolean;
  /** Resolves with whether every connected entry has read all that was sent. */
  readonly syncAll: () => Promise<boolean>;
  /** Returns when the last start arrived. */
  readonly getLastStart: () => Instant;
  /** Resolves once control has the announcement that the target is leaving, or on abort. */
  readonly announce: (signal: AbortSignal) => Promise<void>;
}

const pollIntervalMs = 10;

/**
 * How long no start must have arrived before the agent disconnects. The outcome
 * of a start that is in flight when the connection closes is unknown, so the
 * agent waits until every entry must have seen the updated view.
 */
const announcedQuietMs = 1000;
/** The same while control has not confirmed the announcement, so that entries learn of the drain only from refusals. */
const unannouncedQuietMs = 5000;

/**
 * Waits until an agent that refuses new work may disconnect: nothing runs, no
 * start is in flight, and every entry has read its last report.
 * Resolves with false when aborted with work or reports left.
 */
export async function awaitDrained(
  context: DrainContext,
  signal: AbortSignal,
): Promise<boolean> {
  const {clock} = context;
  const startedAt = clock.now();
  let announcedAt: Instant | undefined;
  void context.announce(signal).then(() => {
    if (!signal.aborted) announcedAt = clock.now();
  });
  while (!signal.aborted) {
    if (isQuiet(context, startedAt, announcedAt) && (await context.syncAll())) {
      if (isQuiet(context, startedAt, announcedAt)) return true;
    }
    await new Promise(resolve => setTimeout(resolve, pollIntervalMs));
  }
  return context.isIdle();
}

function isQuiet(
  context: DrainContext,
  startedAt: Instant,
  announcedAt: Instant | undefined,
): boolean {
  if (!context.isIdle() || context.hasPendingReconnects()) return false;
  if (announcedAt !== undefined && !context.hasSessions()) return true;
  const quietMs =
    announcedAt === undefined ? unannouncedQuietMs : announcedQuietMs;
  const since = Math.max(announcedAt ?? startedAt, context.getLastStart());
  return context.clock.now() - since >= quietMs;
}
