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
import {makeBlank, Stand, timing} from './stand.js';

const {electionTimeoutMs, clockMarginMs} = timing;

const askVote = (term: number, preliminary = false): Message => ({
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

const granted = (stand: Stand) =>
  stand.sent.some(message => message.kind === 'vote-reply' && message.granted);

test('a vote is told only after its sync', t => {
  const stand = new Stand();
  stand.now = electionTimeoutMs;
  stand.syncs = false;
  stand.receive('b', askVote(1));
  t.false(granted(stand));
  const [{sequence, hardState}] = stand.find('persist');
  t.deepEqual(hardState, {term: 1, vote: 'b'});
  stand.step({kind: 'synced', sequence});
  t.true(granted(stand));
});

test('entries are acknowledged only after their sync', t => {
  const stand = new Stand();
  stand.syncs = false;
  const entries = [makeBlank(2, 1)];
  stand.receive('b', {...append(1), entries} as Message);
  t.deepEqual(stand.sent, []);
  stand.step({kind: 'synced', sequence: stand.find('persist')[0].sequence});
  t.like(stand.sent[0], {kind: 'append-accepted', matchIndex: 2});
});

test('after a start an election is stood for within one and a half timeouts', t => {
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

test('one vote is given in a term', t => {
  const stand = new Stand();
  stand.now = electionTimeoutMs;
  stand.receive('b', askVote(1));
  t.true(granted(stand));
  stand.receive('c', askVote(1));
  t.false(granted(stand));
});

for (const preliminary of [true, false]) {
  test(`no vote is given soon after a leader was heard or a restart, preliminary ${preliminary}`, t => {
    const stand = new Stand();
    stand.now = electionTimeoutMs - 1;
    stand.receive('b', askVote(1, preliminary));
    t.false(granted(stand));
    stand.receive('c', append(1));
    stand.now += electionTimeoutMs - 1;
    stand.receive('b', askVote(2, preliminary));
    t.false(granted(stand));
    stand.now += 1;
    stand.receive('b', askVote(2, preliminary));
    t.true(granted(stand));
  });
}

test('a replica that is cut off does not raise its term', t => {
  const stand = new Stand(5);
  stand.pass(20 * electionTimeoutMs);
  t.like(stand.status, {role: 'candidate', term: 5});
});

test('a leader that hears no quorum steps down', t => {
  const stand = new Stand();
  stand.startLeading();
  stand.accept();
  t.is(stand.status.role, 'leader');
  stand.pass(electionTimeoutMs);
  t.is(stand.status.role, 'follower');
});

test('a read waits for the first commit of the term', t => {
  const stand = new Stand();
  stand.startLeading();
  stand.step({kind: 'read', ticket: 1});
  t.deepEqual(stand.find('readable'), []);
  stand.accept();
  t.deepEqual(stand.find('readable'), [
    {kind: 'readable', ticket: 1, index: 2},
  ]);
});

test('a read is confirmed at once under the lease, and past it by a round of messages', t => {
  const stand = new Stand();
  stand.startLeading();
  stand.accept();
  stand.now += electionTimeoutMs - clockMarginMs - 1;
  stand.step({kind: 'read', ticket: 1});
  t.is(stand.find('readable').length, 1);
  stand.now += 1;
  stand.step({kind: 'read', ticket: 2});
  t.is(stand.find('readable').length, 0);
  t.is(stand.sent.length, 2);
  stand.accept();
  t.is(stand.find('readable').length, 1);
});

test('a read is refused when leadership ends before it is confirmed', t => {
  const stand = new Stand();
  stand.startLeading();
  stand.step({kind: 'read', ticket: 1});
  stand.receive('c', append(9));
  t.like(stand.find('refused')[0], {ticket: 1, reason: 'not-leader'});
});

test('an entry of an earlier term is committed only by one of this term', t => {
  const stand = new Stand(1, makeBlank(2, 1));
  stand.startLeading();
  stand.accept(2);
  t.is(stand.status.commitIndex, 0);
  stand.accept(3);
  t.is(stand.status.commitIndex, 3);
});

test('a conflict is passed over a term at a time', t => {
  const entries = Array.from({length: 300}, (_, i) => makeBlank(i + 2, 1));
  const stand = new Stand(2, ...entries);
  stand.startLeading();
  const {term} = stand.status;
  const previousIndex = 301;
  stand.receive('b', {
    kind: 'append-rejected',
    term,
    round: 1,
    previousIndex,
    hintIndex: 301,
    hintTerm: 0,
  });
  t.like(stand.sent[0], {kind: 'append', previousIndex: 1, previousTerm: 0});
});

test('changes go one at a time, after a commit of the term, and promote only who caught up', t => {
  const stand = new Stand();
  const tryChange = (
    kind: 'add-learner' | 'promote',
    member: string,
  ): string => {
    const change = {kind, member, address: member};
    stand.step({kind: 'change-members', ticket: 1, change});
    return stand.find('refused')[0]?.reason ?? 'begun';
  };
  stand.startLeading();
  t.is(tryChange('add-learner', 'd'), 'not-ready');
  stand.accept();
  t.is(tryChange('add-learner', 'd'), 'begun');
  t.is(tryChange('add-learner', 'e'), 'change-in-progress');
  stand.accept();
  t.is(tryChange('promote', 'd'), 'not-caught-up');
  t.is(tryChange('promote', 'e'), 'unknown-member');
  t.is(tryChange('promote', 'b'), 'already-member');
});

test('a leader that hands over writes nothing and reads no more under its lease', t => {
  const stand = new Stand();
  stand.startLeading();
  stand.accept();
  stand.step({kind: 'transfer'});
  t.like(stand.find('send')[0], {to: 'b', message: {kind: 'take-over'}});
  const commands = [Buffer.from('x')];
  stand.step({kind: 'propose', ticket: 1, commands});
  t.like(stand.find('refused')[0], {ticket: 1, reason: 'not-leader'});
  stand.step({kind: 'read', ticket: 2});
  t.deepEqual(stand.find('readable'), []);
  stand.accept();
  t.is(stand.find('readable').length, 1);
});

test('a replica that is asked to take over stands at once, and gets votes in spite of the lease', t => {
  const stand = new Stand();
  stand.receive('b', append(1));
  stand.receive('c', {kind: 'take-over', term: 1});
  t.is(stand.status.role, 'follower');
  stand.receive('b', {kind: 'take-over', term: 1});
  t.like(stand.sent[0], {kind: 'vote-request', term: 2, transferred: true});
  const voter = new Stand();
  voter.receive('c', append(1));
  voter.receive('b', {...askVote(2), transferred: true} as Message);
  t.true(granted(voter));
});

test('many proposals go in one write', t => {
  const stand = new Stand();
  stand.startLeading();
  stand.accept();
  const commands = Array.from({length: 100}, () => Buffer.from('x'));
  stand.step({kind: 'propose', ticket: 1, commands});
  t.is(stand.find('persist').length, 1);
  t.is(stand.find('persist')[0].entries.length, 100);
  stand.accept();
  t.is(stand.find('apply')[0].entries.length, 100);
});

test('a malformed message is refused with what was expected', t => {
  const refuse = (message: unknown) => String(checkMessage(message).extract());
  t.regex(refuse(null), /expected a replica message/);
  t.regex(refuse({kind: 'toString'}), /expected a replica message/);
  t.regex(refuse({...append(1), term: -1}), /whole number/);
  const gap = {...append(1), entries: [makeBlank(3, 1)]};
  t.is(refuse(gap), 'expected entry 2, got 3');
  t.true(checkMessage(append(1)).isRight());
});
