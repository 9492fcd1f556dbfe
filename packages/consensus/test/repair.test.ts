import test from 'ava';
import {
  assert,
  boolean,
  constantFrom,
  property,
  record,
  array,
} from 'fast-check';
import {
  computeQuorum,
  type MemberProgress,
  planRepair,
  type RepairPlan,
} from '#consensus';

const times = {silenceMs: 400, presenceMs: 100, learnerSilenceMs: 2000};
const now = 10_000;
const present = now - 20;
const late = now - 200;
const silent = now - 500;

const describe = (
  id: string,
  voter: boolean,
  heardAt: number,
  caughtUp = true,
): MemberProgress => ({id, voter, heardAt, caughtUp, matchIndex: 0});

const own = describe('a', true, Infinity);
const voter = (id: string, heardAt = present) => describe(id, true, heardAt);
const learner = (id: string, heardAt = present, caughtUp = true) =>
  describe(id, false, heardAt, caughtUp);

const plan = (voters: number, ...others: MemberProgress[]): RepairPlan =>
  planRepair({id: 'a', progress: [own, ...others]}, {...times, voters}, now);

const promote = (member: string) => ({
  kind: 'change',
  change: {kind: 'promote', member},
});
const remove = (member: string) => ({
  kind: 'change',
  change: {kind: 'remove', member},
});
const wait = (reason: string) => ({kind: 'wait', reason});

test('a silent voter is removed for a learner that has caught up, which is then promoted', t => {
  t.like(plan(3, voter('b'), voter('c', silent), learner('d')), remove('c'));
  t.like(plan(3, voter('b'), learner('d')), promote('d'));
  t.is(plan(3, voter('b'), voter('d')).kind, 'whole');
});

test('a silent voter stays while nothing can take its place', t => {
  const lost = voter('c', silent);
  t.like(plan(3, voter('b'), lost), wait('no-learner'));
  const behind = learner('d', present, false);
  t.like(plan(3, voter('b'), lost, behind), wait('no-learner'));
  t.like(plan(3, voter('b'), lost, learner('d', late)), wait('no-learner'));
});

test('a voter that is late but not silent stays', t => {
  t.is(plan(3, voter('b'), voter('c', late), learner('d')).kind, 'whole');
});

test('no change is planned while the present voters are no quorum', t => {
  const lost = [voter('b', silent), voter('c', silent)];
  t.like(plan(3, ...lost, learner('d')), wait('no-quorum'));
  t.like(plan(3, voter('b', late), voter('c', late)), wait('no-quorum'));
});

test('further hosts wait as learners, and the number of voters grows by two at a time', t => {
  const group = [voter('b'), voter('c')];
  t.is(plan(3, ...group, learner('d'), learner('e')).kind, 'whole');
  t.like(plan(5, ...group, learner('d')), wait('second-learner'));
  t.like(plan(5, ...group, learner('d'), learner('e')), promote('d'));
  t.like(plan(5, ...group, voter('d'), learner('e')), promote('e'));
});

test('an even number of voters is mended without a learner when one of them is silent', t => {
  t.like(plan(5, voter('b'), voter('c'), voter('d', silent)), remove('d'));
  t.like(plan(3, voter('b'), voter('c'), voter('d')), remove('d'));
});

test('a learner that is gone is removed once the voters are whole', t => {
  const gone = learner('d', now - 3000);
  t.like(plan(3, voter('b'), voter('c'), gone), remove('d'));
  t.like(plan(3, voter('b'), voter('c', silent), gone), wait('no-learner'));
});

test('no change costs a quorum, lets the group bear less or removes a voter that was heard from', t => {
  const member = record({
    voter: boolean(),
    heardAt: constantFrom(present, late, silent, now - 3000),
    caughtUp: boolean(),
  });
  const countSpare = (members: readonly MemberProgress[]): number => {
    const voters = members.filter(each => each.voter);
    const heard = voters.filter(each => now - each.heardAt < times.presenceMs);
    return heard.length - computeQuorum(voters.length);
  };
  assert(
    property(
      constantFrom(3, 5),
      array(member, {maxLength: 7}),
      (voters, others) => {
        const members = others.map((each, i) => ({
          ...each,
          id: `m${i}`,
          matchIndex: 0,
        }));
        const planned = plan(voters, ...members);
        if (planned.kind !== 'change') return true;
        const {kind, member: id} = planned.change;
        const changed = members.find(each => each.id === id)!;
        const before = [own, ...members];
        const rest = before.filter(each => each.id !== id);
        const after =
          kind === 'remove' ? rest : [...rest, {...changed, voter: true}];
        const voterCount = before.filter(each => each.voter).length;
        const isSurplus = voterCount > voters;
        const isSilent = now - changed.heardAt >= times.silenceMs;
        const isAllowed =
          kind === 'promote'
            ? changed.caughtUp && changed.heardAt === present
            : isSilent || (isSurplus && voterCount % 2 === 0);
        const isSafe = countSpare(after) >= Math.min(0, countSpare(before));
        const keepsSpare = isSurplus || countSpare(after) >= countSpare(before);
        return isAllowed && isSafe && keepsSpare;
      },
    ),
    {numRuns: 20_000, seed: 1},
  );
  t.pass();
});
