import test from 'ava';
import {ClaimTable, type JobOwner, rankRegistrars} from '../src/claims.js';

const [a, b, c]: readonly JobOwner[] = ['a:1', 'b:1', 'c:1'].map(address => ({
  address,
  life: 1,
}));

test('the first claimant stays the owner until it is replaced', t => {
  const claims = new ClaimTable();
  t.is(claims.record('job', a!), a);
  t.is(claims.record('job', b!), a);
  t.is(claims.record('job', a!), a);
  t.is(claims.record('job', b!, c), a);
  t.is(claims.record('job', b!, a), b);
});

// Guards against a process that takes the jobs of an earlier one at its address for its own.
test('the next process at an address is another owner', t => {
  const claims = new ClaimTable();
  const next = {...a!, life: 2};
  t.is(claims.record('job', a!), a);
  t.deepEqual(claims.record('job', next), a);
  t.true(claims.isOther('job', next));
  t.is(claims.record('job', next, a), next);
  t.false(claims.isOther('job', next));
});

test('all dispatchers rank the registrars of a job equally, and jobs are spread over them', t => {
  const all = ['a:1', 'b:1', 'c:1'];
  const firsts = new Map<string, number>();
  for (let i = 0; i < 300; i++) {
    const ranked = rankRegistrars(`job-${i}`, all);
    t.deepEqual(rankRegistrars(`job-${i}`, [...all].reverse()), ranked);
    firsts.set(ranked[0]!, (firsts.get(ranked[0]!) ?? 0) + 1);
  }
  for (const address of all) t.true((firsts.get(address) ?? 0) > 50);
});
