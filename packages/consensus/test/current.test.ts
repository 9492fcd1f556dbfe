import test from 'ava';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {
  createMembers,
  defaultBounds,
  type Effect,
  type LogEntry,
  type Message,
  Replica,
} from '#consensus';
import {makeBlank, ReplicaHarness, timing} from './harness.js';

const {electionTimeoutMs} = timing;
const members = createMembers(['a', 'b', 'c'].map(id => ({id, address: id})));
const snapshot = {index: 4, term: 1, members, data: new Uint8Array()};

/** Starts replica `a` from a snapshot of index 4, taken in term 1. */
function restart(): Replica {
  return new Replica(
    {id: 'a', timing, bounds: defaultBounds, random: xoroshiro128plus(1)},
    {hardState: {term: 1}, snapshot, entries: []},
    0,
  );
}

interface Append {
  readonly term?: number;
  readonly previousIndex: number;
  readonly commitIndex: number;
  readonly entries?: readonly LogEntry[];
}

const append = ({term = 1, entries = [], ...rest}: Append): Message => ({
  kind: 'append',
  term,
  round: 1,
  previousTerm: 1,
  entries,
  ...rest,
});

const receive = (
  replica: Replica,
  message: Message,
  now = 1,
): readonly Effect[] =>
  replica.step({kind: 'message', from: 'b', message}, now);

const isCurrent = (replica: Replica, now = 1) => {
  const status = replica.describeStatus();
  return status.isCurrent && now < status.currentUntil;
};

test('a replica that restarts from a snapshot of the term of its leader is current only with all that the leader has committed', t => {
  const replica = restart();
  t.false(isCurrent(replica));
  receive(replica, append({previousIndex: 6, commitIndex: 6}));
  t.like(replica.describeStatus(), {leader: 'b', commitIndex: 4});
  t.false(isCurrent(replica));
  const first = [makeBlank(5, 1)];
  receive(replica, append({previousIndex: 4, commitIndex: 6, entries: first}));
  t.is(replica.describeStatus().commitIndex, 5);
  t.false(isCurrent(replica));
  const second = [makeBlank(6, 1)];
  receive(replica, append({previousIndex: 5, commitIndex: 6, entries: second}));
  t.true(isCurrent(replica));
});

test('a restarted replica is not current while a snapshot is sent to it', t => {
  const replica = restart();
  receive(replica, append({previousIndex: 0, commitIndex: 9}));
  const install = {
    kind: 'install',
    term: 1,
    round: 1,
    snapshot: {index: 8, term: 1, members},
    totalBytes: 2,
  } as const;
  const chunk = new Uint8Array(1);
  receive(replica, {...install, offset: 0, data: chunk});
  t.false(isCurrent(replica));
  receive(replica, {...install, offset: 1, data: chunk});
  t.is(replica.describeStatus().commitIndex, 8);
  t.false(isCurrent(replica));
  const entries = [makeBlank(9, 1)];
  receive(replica, append({previousIndex: 8, commitIndex: 9, entries}));
  t.true(isCurrent(replica));
});

test('a restarted replica is not current while a leader is elected', t => {
  const replica = restart();
  receive(replica, append({previousIndex: 4, commitIndex: 4}));
  t.true(isCurrent(replica));
  receive(replica, append({term: 2, previousIndex: 4, commitIndex: 4}));
  t.false(isCurrent(replica));
  const entries = [makeBlank(5, 2)];
  const next = {term: 2, previousIndex: 4, entries};
  receive(replica, append({...next, commitIndex: 4}));
  t.false(isCurrent(replica));
  receive(replica, append({...next, commitIndex: 5}));
  t.true(isCurrent(replica));
});

test('a replica that is paused is not current when it goes on, before it hears of a leader', t => {
  const follower = restart();
  receive(follower, append({previousIndex: 4, commitIndex: 4}));
  t.true(isCurrent(follower, electionTimeoutMs));
  t.false(isCurrent(follower, 1 + electionTimeoutMs));

  const leader = new ReplicaHarness();
  leader.startLeading();
  leader.accept();
  t.true(isCurrent(leader.replica, leader.now));
  t.false(isCurrent(leader.replica, leader.now + electionTimeoutMs));
});

test('an older message of the same leader makes a replica no more current', t => {
  const replica = restart();
  receive(replica, append({previousIndex: 6, commitIndex: 6}));
  receive(replica, append({previousIndex: 4, commitIndex: 4}));
  t.false(isCurrent(replica));
});
