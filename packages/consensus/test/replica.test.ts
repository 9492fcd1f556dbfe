import test from 'ava';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {
  checkMessage,
  createFirstEntry,
  createMembers,
  defaultBounds,
  type Message,
  Replica,
} from '#consensus';
import {makeBlank, ReplicaHarness, timing} from './harness.js';

const {electionTimeoutMs, clockMarginMs} = timing;

const requestVote = (term: number, preliminary = false): Message => ({
  kind: 'vote-request',
  term,
  preliminary,
  transferred: false,
  lastIndex: 9,
  lastTerm: 9,
});

const append = (term: number, previousIndex = 1): Message => ({
  kind: 'append',
  term,
  round: 1,
  previousIndex,
  previousTerm: 0,
  commitIndex: 0,
  entries: [],
});

const hasGrantedVote = (harness: ReplicaHarness) =>
  harness.sent.some(
    message => message.kind === 'vote-reply' && message.granted,
  );

test('a vote is sent only after its sync', t => {
  const harness = new ReplicaHarness();
  harness.now = electionTimeoutMs;
  harness.autoSync = false;
  harness.receive('b', requestVote(1));
  t.false(hasGrantedVote(harness));
  const [{sequence, hardState}] = harness.find('persist');
  t.deepEqual(hardState, {term: 1, vote: 'b'});
  harness.step({kind: 'synced', sequence});
  t.true(hasGrantedVote(harness));
});

test('entries are acknowledged only after their sync', t => {
  const harness = new ReplicaHarness();
  harness.autoSync = false;
  const entries = [makeBlank(2, 1)];
  harness.receive('b', {...append(1), entries} as Message);
  t.deepEqual(harness.sent, []);
  harness.step({kind: 'synced', sequence: harness.find('persist')[0].sequence});
  t.like(harness.sent[0], {kind: 'append-accepted', matchIndex: 2});
});

// Guards against a group without a leader while disks are slow: the leader steps down unless its heartbeats are answered within an election timeout.
test('a heartbeat is answered while entries wait for their sync', t => {
  const harness = new ReplicaHarness(1);
  harness.autoSync = false;
  const entries = [makeBlank(2, 1)];
  harness.receive('b', {...append(1), entries} as Message);
  const {sequence} = harness.find('persist')[0];
  harness.receive('b', {...append(1, 2), round: 2, previousTerm: 1} as Message);
  t.like(harness.sent[0], {
    kind: 'append-accepted',
    round: 2,
    matchIndex: 1,
  });
  harness.step({kind: 'synced', sequence});
  t.like(harness.sent[0], {kind: 'append-accepted', matchIndex: 2});
});

test('a heartbeat of a new term is answered only after the sync of the term', t => {
  const harness = new ReplicaHarness();
  harness.autoSync = false;
  harness.receive('b', append(1));
  t.deepEqual(harness.sent, []);
  harness.step({kind: 'synced', sequence: harness.find('persist')[0].sequence});
  t.like(harness.sent[0], {kind: 'append-accepted', matchIndex: 1});
});

test('a replica starts an election one to one and a half timeouts after its start', t => {
  const members = createMembers(['a', 'b', 'c'].map(id => ({id, address: id})));
  for (let seed = 0; seed < 50; seed++) {
    const {wakeAt} = new Replica(
      {id: 'a', timing, bounds: defaultBounds, random: xoroshiro128plus(seed)},
      {hardState: {term: 0}, entries: [createFirstEntry(members)]},
      0,
    );
    t.true(wakeAt >= electionTimeoutMs);
    t.true(wakeAt <= 1.5 * electionTimeoutMs);
  }
});

test('only one vote is granted per term', t => {
  const harness = new ReplicaHarness();
  harness.now = electionTimeoutMs;
  harness.receive('b', requestVote(1));
  t.true(hasGrantedVote(harness));
  harness.receive('c', requestVote(1));
  t.false(hasGrantedVote(harness));
});

for (const preliminary of [true, false]) {
  test(`no vote is granted within an election timeout of a start or a leader contact, preliminary ${preliminary}`, t => {
    const harness = new ReplicaHarness();
    harness.now = electionTimeoutMs - 1;
    harness.receive('b', requestVote(1, preliminary));
    t.false(hasGrantedVote(harness));
    harness.receive('c', append(1));
    harness.now += electionTimeoutMs - 1;
    harness.receive('b', requestVote(2, preliminary));
    t.false(hasGrantedVote(harness));
    harness.now += 1;
    harness.receive('b', requestVote(2, preliminary));
    t.true(hasGrantedVote(harness));
  });
}

test('an isolated replica does not increment its term', t => {
  const harness = new ReplicaHarness(5);
  harness.advanceTime(20 * electionTimeoutMs);
  t.like(harness.status, {role: 'candidate', term: 5});
});

test('a leader without replies from a quorum steps down', t => {
  const harness = new ReplicaHarness();
  harness.startLeading();
  harness.accept();
  t.is(harness.status.role, 'leader');
  harness.advanceTime(electionTimeoutMs);
  t.is(harness.status.role, 'follower');
});

test('a read waits until an entry of the term is committed', t => {
  const harness = new ReplicaHarness();
  harness.startLeading();
  harness.step({kind: 'read', ticket: 1});
  t.deepEqual(harness.find('readable'), []);
  harness.accept();
  t.deepEqual(harness.find('readable'), [
    {kind: 'readable', ticket: 1, index: 2},
  ]);
});

test('a read is confirmed at once under the lease and by a message round after it', t => {
  const harness = new ReplicaHarness();
  harness.startLeading();
  harness.accept();
  harness.now += electionTimeoutMs - clockMarginMs - 1;
  harness.step({kind: 'read', ticket: 1});
  t.is(harness.find('readable').length, 1);
  harness.now += 1;
  harness.step({kind: 'read', ticket: 2});
  t.is(harness.find('readable').length, 0);
  t.is(harness.sent.length, 2);
  harness.accept();
  t.is(harness.find('readable').length, 1);
});

test('a read is refused when leadership ends before it is confirmed', t => {
  const harness = new ReplicaHarness();
  harness.startLeading();
  harness.step({kind: 'read', ticket: 1});
  harness.receive('c', append(9));
  t.like(harness.find('refused')[0], {ticket: 1, reason: 'not-leader'});
});

test('an entry of an earlier term is committed only along with an entry of the current term', t => {
  const harness = new ReplicaHarness(1, makeBlank(2, 1));
  harness.startLeading();
  harness.accept(2);
  t.is(harness.status.commitIndex, 0);
  harness.accept(3);
  t.is(harness.status.commitIndex, 3);
});

test('a conflict hint skips a whole term of entries', t => {
  const entries = Array.from({length: 300}, (_, i) => makeBlank(i + 2, 1));
  const harness = new ReplicaHarness(2, ...entries);
  harness.startLeading();
  const {term} = harness.status;
  const previousIndex = 301;
  harness.receive('b', {
    kind: 'append-rejected',
    term,
    round: 1,
    previousIndex,
    hintIndex: 301,
    hintTerm: 0,
  });
  t.like(harness.sent[0], {kind: 'append', previousIndex: 1, previousTerm: 0});
});

test('member changes wait for a commit of the term, go one at a time and promote only a learner that has caught up', t => {
  const harness = new ReplicaHarness();
  const tryChange = (
    kind: 'add-learner' | 'promote',
    member: string,
  ): string => {
    const change = {kind, member, address: member};
    harness.step({kind: 'change-members', ticket: 1, change});
    return harness.find('refused')[0]?.reason ?? 'begun';
  };
  harness.startLeading();
  t.is(tryChange('add-learner', 'd'), 'not-ready');
  harness.accept();
  t.is(tryChange('add-learner', 'd'), 'begun');
  t.is(tryChange('add-learner', 'e'), 'change-in-progress');
  harness.accept();
  t.is(tryChange('promote', 'd'), 'not-caught-up');
  t.is(tryChange('promote', 'e'), 'unknown-member');
  t.is(tryChange('promote', 'b'), 'already-member');
});

test('during a leadership transfer a leader refuses writes and confirms reads by a message round', t => {
  const harness = new ReplicaHarness();
  harness.startLeading();
  harness.accept();
  harness.step({kind: 'transfer'});
  t.like(harness.find('send')[0], {to: 'b', message: {kind: 'take-over'}});
  const commands = [Buffer.from('x')];
  harness.step({kind: 'propose', ticket: 1, commands});
  t.like(harness.find('refused')[0], {ticket: 1, reason: 'not-leader'});
  harness.step({kind: 'read', ticket: 2});
  t.deepEqual(harness.find('readable'), []);
  harness.accept();
  t.is(harness.find('readable').length, 1);
});

test('a replica asked to take over starts an election at once and receives votes despite the lease', t => {
  const harness = new ReplicaHarness();
  harness.receive('b', append(1));
  harness.receive('c', {kind: 'take-over', term: 1});
  t.is(harness.status.role, 'follower');
  harness.receive('b', {kind: 'take-over', term: 1});
  t.like(harness.sent[0], {kind: 'vote-request', term: 2, transferred: true});
  const voter = new ReplicaHarness();
  voter.receive('c', append(1));
  voter.receive('b', {...requestVote(2), transferred: true} as Message);
  t.true(hasGrantedVote(voter));
});

test('the commands of a proposal are persisted in one write', t => {
  const harness = new ReplicaHarness();
  harness.startLeading();
  harness.accept();
  const commands = Array.from({length: 100}, () => Buffer.from('x'));
  harness.step({kind: 'propose', ticket: 1, commands});
  t.is(harness.find('persist').length, 1);
  t.is(harness.find('persist')[0].entries.length, 100);
  harness.accept();
  t.is(harness.find('apply')[0].entries.length, 100);
});

test('a malformed message is rejected with a description of what was expected', t => {
  const refuse = (message: unknown) => String(checkMessage(message).extract());
  t.regex(refuse(null), /expected a replica message/);
  t.regex(refuse({kind: 'toString'}), /expected a replica message/);
  t.regex(refuse({...append(1), term: -1}), /whole number/);
  const gap = {...append(1), entries: [makeBlank(3, 1)]};
  t.is(refuse(gap), 'expected entry 2, got 3');
  t.true(checkMessage(append(1)).isRight());
});

test('a newer term learnt from a vote reply does not end the wait after a contact with a leader', t => {
  const harness = new ReplicaHarness();
  harness.now = electionTimeoutMs;
  harness.receive('b', append(1));
  harness.now += 10;
  harness.receive('c', {
    kind: 'vote-reply',
    term: 2,
    preliminary: true,
    granted: false,
  });
  t.is(harness.status.term, 2);
  harness.receive('c', requestVote(2));
  t.false(hasGrantedVote(harness));
  harness.now += electionTimeoutMs;
  harness.receive('c', requestVote(2));
  t.true(hasGrantedVote(harness));
});

test('a replica is current once an entry of the term of its leader is committed', t => {
  const harness = new ReplicaHarness(1, makeBlank(2, 1));
  t.false(harness.status.isCurrent);
  harness.receive('b', {
    ...append(2, 2),
    previousTerm: 1,
    commitIndex: 2,
  } as Message);
  t.like(harness.status, {commitIndex: 2, isCurrent: false});
  const entries = [makeBlank(3, 2)];
  const next = {...append(2, 2), previousTerm: 1, commitIndex: 3, entries};
  harness.receive('b', next as Message);
  t.like(harness.status, {commitIndex: 3, isCurrent: true});
  harness.advanceTime(3 * electionTimeoutMs);
  t.false(harness.status.isCurrent);
});
