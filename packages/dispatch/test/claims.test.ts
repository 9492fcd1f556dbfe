import test from 'ava';
import {ClaimTable, rankRegistrars} from '../src/claims.js';

test('the first claimant stays the owner until it is replaced', t => {
  const claims = new ClaimTable();
  t.is(claims.record('job', 'a:1'), 'a:1');
  t.is(claims.record('job', 'b:1'), 'a:1');
  t.is(claims.record('job', 'a:1'), 'a:1');
  t.is(claims.record('job', 'b:1', 'c:1'), 'a:1');
  t.is(claims.record('job', 'b:1', 'a:1'), 'b:1');
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
