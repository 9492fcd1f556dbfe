import type {Clock, Instant} from '#model';

/** What a drain waits for. */
export interface DrainSubject {
  readonly clock: Clock;
  /** Nothing runs, and every fate was sent. */
  readonly isIdle: () => boolean;
  /** An entry is connected. */
  readonly hasSessions: () => boolean;
  /** An entry has lost its connection and may come back for what was lost with it. */
  readonly hasMissing: () => boolean;
  /** Resolves with whether every connected entry has read all that was sent. */
  readonly confirmAll: () => Promise<boolean>;
  /** When a start last arrived. */
  readonly getLastStart: () => Instant;
  /** Resolves once control has heard that the target leaves, or on abort. */
  readonly announce: (signal: AbortSignal) => Promise<void>;
}

const pollIntervalMs = 10;

/**
 * How long no start may have arrived before an agent hangs up. A start that is
 * on its way when the connection ends has an unknown fate, so the agent stays
 * until every entry's view must have followed.
 */
const announcedQuietMs = 1000;
/** The same while control cannot be told and entries learn by refusals alone. */
const unannouncedQuietMs = 5000;

/**
 * Waits until an agent that refuses new work may hang up: nothing runs, no
 * start is on its way, and every entry has read its last report.
 * False when aborted first with work or reports left.
 */
export async function awaitDrained(
  subject: DrainSubject,
  signal: AbortSignal,
): Promise<boolean> {
  const {clock} = subject;
  const begunAt = clock.now();
  let announcedAt: Instant | undefined;
  void subject.announce(signal).then(() => {
    if (!signal.aborted) announcedAt = clock.now();
  });
  while (!signal.aborted) {
    if (
      isQuiet(subject, begunAt, announcedAt) &&
      (await subject.confirmAll())
    ) {
      if (isQuiet(subject, begunAt, announcedAt)) return true;
    }
    await new Promise(resolve => setTimeout(resolve, pollIntervalMs));
  }
  return subject.isIdle();
}

function isQuiet(
  subject: DrainSubject,
  begunAt: Instant,
  announcedAt: Instant | undefined,
): boolean {
  if (!subject.isIdle() || subject.hasMissing()) return false;
  if (announcedAt !== undefined && !subject.hasSessions()) return true;
  const quietMs =
    announcedAt === undefined ? unannouncedQuietMs : announcedQuietMs;
  const since = Math.max(announcedAt ?? begunAt, subject.getLastStart());
  return subject.clock.now() - since >= quietMs;
}
