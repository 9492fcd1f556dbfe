import type {Instant} from '#model';
import type {IntakeSettings} from '#settings';

/** What is known of a body or message that has not arrived whole. */
export interface UnfinishedBody {
  /** Memory that it holds, in bytes. */
  readonly bytes: number;
  /** Pieces in which it has come. */
  readonly chunks: number;
  readonly openedAt: Instant;
}

/** What the bodies of a process hold too much of. */
export type HeldQuantity = 'bytes' | 'chunks';

/** Bodies that hold this share of what the largest one holds are equally large. */
const largeShare = 0.5;

/**
 * Chooses the body that makes room for the others: of the largest ones, the slowest. Undefined for a
 * body that is alone, which its own size limits.
 *
 * Load: a crowd holds bodies open just short of their end, in large or very small chunks, while
 * ordinary callers send small bodies at once.
 */
export function chooseBodyToCut<Body extends UnfinishedBody>(
  bodies: ReadonlySet<Body>,
  quantity: HeldQuantity,
  now: Instant,
): Body | undefined {
  if (bodies.size < 2) return undefined;
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

/**
 * Chooses the connection that makes room for a new one: the one that has made no progress for the
 * longest; an idle one that has been served before only if there is no other. Undefined when all
 * wait for answers.
 *
 * Load: connections that say nothing, trickle their headers or body, or do not read, as many as the
 * process may open.
 */
export function chooseConnectionToClose<Connection>(
  connections: Iterable<readonly [Connection, ConnectionState]>,
): Connection | undefined {
  let chosen: Connection | undefined;
  let chosenState: ConnectionState | undefined;
  for (const [connection, state] of connections) {
    if (state.stage === 'waiting') continue;
    if (chosenState !== undefined && !isWorse(state, chosenState)) continue;
    chosen = connection;
    chosenState = state;
  }
  return chosen;
}

function isWorse(one: ConnectionState, other: ConnectionState): boolean {
  const isIdle = one.stage === 'idle';
  if (isIdle !== (other.stage === 'idle')) return !isIdle;
  return one.since < other.since;
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
