import type {Instant} from '#model';
import type {IntakeSettings} from '#settings';

/** What is known of a body or message that has not arrived whole. */
export interface UnfinishedBody {
  /** Memory that it holds, in bytes. */
  readonly bytes: number;
  /** Pieces in which it has come. */
  readonly chunks: number;
  readonly openedAt: Instant;
  /** When the latest piece came. */
  readonly receivedAt: Instant;
  /** False for messages between the system's own processes, which keep no minimum rate. */
  readonly isTimed: boolean;
}

/** What the bodies of a process hold too much of. */
export type HeldQuantity = 'bytes' | 'chunks';

/** Bodies that hold this share of what the largest one holds are equally large. */
const largeShare = 0.5;

/** A body to which nothing was added for longer stands still. */
const standingMs = 1000;
/** Bodies that stand still go first if they hold at least this share: otherwise cutting them would free too little. */
const minStandingShare = 0.25;

/**
 * Chooses the body that makes room for the others: of the largest ones, the slowest. Those that stand
 * still go first, and those of clients before messages between the system's processes. Undefined for a
 * body that is alone, which its own size limits.
 *
 * Load: a crowd holds bodies open just short of their end, in large or very small chunks, while
 * ordinary callers send small bodies at once, and operators large configurations.
 */
export function chooseBodyToCut<Body extends UnfinishedBody>(
  bodies: ReadonlySet<Body>,
  quantity: HeldQuantity,
  now: Instant,
): Body | undefined {
  if (bodies.size < 2) return undefined;
  const all = [...bodies];
  const timed = all.filter(({isTimed}) => isTimed);
  const standing = timed.filter(
    ({receivedAt}) => now - receivedAt >= standingMs,
  );
  const held = sumHeld(timed, quantity);
  if (held > 0 && sumHeld(standing, quantity) >= held * minStandingShare) {
    return chooseSlowest(standing, quantity, now);
  }
  return chooseSlowest(timed.length > 0 ? timed : all, quantity, now);
}

function sumHeld(
  bodies: readonly UnfinishedBody[],
  quantity: HeldQuantity,
): number {
  return bodies.reduce((sum, body) => sum + body[quantity], 0);
}

function chooseSlowest<Body extends UnfinishedBody>(
  bodies: readonly Body[],
  quantity: HeldQuantity,
  now: Instant,
): Body | undefined {
  let most = 0;
  for (const body of bodies) most = Math.max(most, body[quantity]);
  let chosen: Body | undefined;
  let lowestRate = Infinity;
  for (const body of bodies) {
    if (body[quantity] < most * largeShare) continue;
    const rate = body.bytes / Math.max(1, now - body.openedAt);
    if (rate >= lowestRate) continue;
    lowestRate = rate;
    chosen = body;
  }
  return chosen;
}

const msPerSecond = 1000;

/**
 * The time by which a body has to be complete: each byte received extends it.
 *
 * Load: bodies that trickle, each within any time limit that a slow link needs.
 */
export function computeBodyDeadline(
  openedAt: Instant,
  receivedBytes: number,
  settings: IntakeSettings,
): Instant {
  const {maxBodyMs, bodyGraceMs, minBodyBytesPerSecond} = settings;
  const earnedMs = (receivedBytes / minBodyBytesPerSecond) * msPerSecond;
  return openedAt + Math.min(maxBodyMs, bodyGraceMs + earnedMs);
}

/** What a connection is doing. */
export type ConnectionStage =
  /** It has sent no complete request or message. */
  | 'silent'
  /** Its request is arriving, or its answer is not being read. */
  | 'slow'
  /** All its requests are answered. */
  | 'idle'
  /** It waits for an answer. */
  | 'waiting';

export interface ConnectionState {
  readonly stage: ConnectionStage;
  /** When the stage began. */
  readonly since: Instant;
}

/** A connection without progress for longer goes before one that was served and is idle. */
const stalledMs = 1000;

/**
 * Chooses the connection that makes room for a new one: of those whose request has made no progress
 * for a while the longest, then the one that has been idle for the longest, so that a request that is
 * just arriving is not lost. Undefined when all wait for answers.
 *
 * Load: connections that say nothing, trickle their headers or body, or do not read, as many as the
 * process may open.
 */
export function chooseConnectionToClose<Connection>(
  connections: Iterable<readonly [Connection, ConnectionState]>,
  now: Instant,
): Connection | undefined {
  let chosen: Connection | undefined;
  let chosenState: ConnectionState | undefined;
  for (const [connection, state] of connections) {
    if (state.stage === 'waiting') continue;
    if (chosenState !== undefined && !isWorse(state, chosenState, now))
      continue;
    chosen = connection;
    chosenState = state;
  }
  return chosen;
}

function isWorse(
  one: ConnectionState,
  other: ConnectionState,
  now: Instant,
): boolean {
  const rank = rankConnection(one, now);
  const otherRank = rankConnection(other, now);
  return rank === otherRank ? one.since < other.since : rank < otherRank;
}

/** The lowest goes first. */
function rankConnection({stage, since}: ConnectionState, now: Instant): number {
  if (stage === 'idle') return 1;
  return now - since >= stalledMs ? 0 : 2;
}

/** Answers that a connection has not read. */
export interface UnreadAnswers {
  /** When the first of them was sent. */
  readonly since: Instant;
  readonly bytes: number;
}

/**
 * Lists the connections to close: those that have read nothing since `limit`, and of the others the
 * ones with most unread, until the rest has `maxBytes` at most.
 *
 * Load: clients send requests on and read no answers.
 */
export function listUnreadToClose<Connection extends UnreadAnswers>(
  connections: readonly Connection[],
  limit: Instant,
  maxBytes: number,
): readonly Connection[] {
  const stalled = connections.filter(({since}) => since < limit);
  const rest = connections
    .filter(({since}) => since >= limit)
    .toSorted((one, other) => other.bytes - one.bytes);
  let excess = rest.reduce((sum, {bytes}) => sum + bytes, 0) - maxBytes;
  for (const connection of rest) {
    if (excess <= 0) break;
    excess -= connection.bytes;
    stalled.push(connection);
  }
  return stalled;
}
