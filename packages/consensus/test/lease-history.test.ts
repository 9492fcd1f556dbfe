import test from 'ava';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {
  createFirstEntry,
  createMembers,
  defaultBounds,
  type Effect,
  type Input,
  type Message,
  Replica,
} from '#consensus';
import {timing} from './harness.js';

const {electionTimeoutMs} = timing;
const ids = ['a', 'b', 'c', 'd', 'e'];

interface Envelope {
  readonly from: string;
  readonly to: string;
  readonly message: Message;
}

/** Five replicas with one clock, whose links are opened and cut by the test. */
class History {
  now = 0;
  /** Messages sent over links that were cut at the time. */
  readonly held: Envelope[] = [];
  readonly effects = new Map<string, Effect[]>(ids.map(id => [id, []]));
  private readonly replicas: ReadonlyMap<string, Replica>;
  private readonly cutLinks = new Set<string>();

  constructor(seed: number) {
    const members = createMembers(ids.map(id => ({id, address: id})));
    this.replicas = new Map(
      ids.map((id, i) => [
        id,
        new Replica(
          {
            id,
            timing,
            bounds: defaultBounds,
            random: xoroshiro128plus(seed * ids.length + i),
          },
          {hardState: {term: 0}, entries: [createFirstEntry(members)]},
          0,
        ),
      ]),
    );
  }

  get(id: string): Replica {
    return this.replicas.get(id)!;
  }

  cut(one: string, other: string): void {
    this.cutLinks.add(`${one} ${other}`).add(`${other} ${one}`);
  }

  open(one: string, other: string): void {
    this.cutLinks.delete(`${one} ${other}`);
    this.cutLinks.delete(`${other} ${one}`);
  }

  /** Advances the time with every due tick. */
  advanceTo(end: number): void {
    for (;;) {
      const [next] = [...this.replicas.values()].sort(
        (one, other) => one.wakeAt - other.wakeAt,
      );
      if (next!.wakeAt > end) break;
      this.now = Math.max(this.now, next!.wakeAt);
      this.step(next!.options.id, {kind: 'tick'});
    }
    this.now = end;
  }

  step(id: string, input: Input): void {
    for (const effect of this.get(id).step(input, this.now)) {
      this.effects.get(id)!.push(effect);
      if (effect.kind === 'persist') {
        this.step(id, {kind: 'synced', sequence: effect.sequence});
      }
      if (effect.kind !== 'send') continue;
      const envelope = {from: id, to: effect.to, message: effect.message};
      if (this.cutLinks.has(`${id} ${effect.to}`)) this.held.push(envelope);
      else this.deliver(envelope);
    }
  }

  deliver({from, to, message}: Envelope): void {
    this.step(to, {kind: 'message', from, message});
  }

  /** Delivers the latest held vote request from one replica to another. */
  deliverVoteRequest(from: string, to: string, preliminary: boolean): void {
    const request = this.held.findLast(
      ({message, ...link}) =>
        link.from === from &&
        link.to === to &&
        message.kind === 'vote-request' &&
        message.preliminary === preliminary,
    );
    if (request) this.deliver(request);
  }
}

/**
 * Brings about two leaders: `old` keeps a quorum through `late`, which a delayed vote reply
 * has moved to the term of the candidate `next`. Undefined when the drawn timeouts don't fit.
 */
function raceLeaders(seed: number) {
  const history = new History(seed);
  history.advanceTo(2 * electionTimeoutMs);
  const old = ids.find(
    id => history.get(id).describeStatus().role === 'leader',
  );
  if (old === undefined) return undefined;
  const [next, late, ally, early] = ids.filter(id => id !== old) as [
    string,
    string,
    string,
    string,
  ];
  for (const other of ids) if (other !== next) history.cut(next, other);
  for (const other of ids) if (other !== late) history.cut(late, other);
  history.advanceTo(history.now + 2.5 * electionTimeoutMs);
  const candidacyAt = history.get(next).wakeAt;
  const cutAt = candidacyAt - electionTimeoutMs / 2;
  if (cutAt < history.now) return undefined;
  history.advanceTo(cutAt);
  for (const other of ids) if (other !== early) history.cut(early, other);
  history.advanceTo(candidacyAt);
  history.open(next, late);
  history.deliverVoteRequest(next, late, true);
  history.cut(next, late);
  history.open(old, late);
  history.advanceTo(candidacyAt + 0.7 * electionTimeoutMs);
  history.open(next, early);
  history.deliverVoteRequest(next, early, true);
  history.open(next, late);
  history.deliverVoteRequest(late, next, true);
  history.deliverVoteRequest(next, late, false);
  const commands = [Buffer.from('x')];
  history.step(next, {kind: 'propose', ticket: 1, commands});
  history.effects.set(old, []);
  history.step(old, {kind: 'read', ticket: 2});
  const oldStatus = history.get(old).describeStatus();
  const nextStatus = history.get(next).describeStatus();
  const isReached =
    oldStatus.role === 'leader' &&
    nextStatus.term > oldStatus.term &&
    history.get(ally).describeStatus().leader === old;
  if (!isReached) return undefined;
  const isCommitted = nextStatus.commitIndex > oldStatus.commitIndex;
  const isReadable = history.effects
    .get(old)!
    .some(({kind}) => kind === 'readable');
  return {isCommitted, isReadable};
}

test('an old leader confirms no read under its lease once another leader has committed, though a late vote reply moved the term of a replica in contact with it', t => {
  const outcomes = Array.from({length: 400}, (_, seed) => raceLeaders(seed));
  const reached = outcomes.filter(outcome => outcome !== undefined);
  t.true(reached.length > 0);
  t.true(reached.some(({isReadable}) => isReadable));
  for (const {isCommitted, isReadable} of reached) {
    t.false(isCommitted && isReadable);
  }
});
