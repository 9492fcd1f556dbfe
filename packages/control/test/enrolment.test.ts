import test from 'ava';
import {createMembers} from '#consensus';
import {planEnrolment} from '../src/enrolment.js';

const group = createMembers([
  {id: 'a', address: '10.0.0.1:7'},
  {id: 'b', address: '10.0.0.2:7'},
]);

test('a replica on a new disk removes its predecessor before it joins', t => {
  t.deepEqual(planEnrolment(group, 'c', '10.0.0.2:7'), {
    kind: 'remove',
    member: 'b',
  });
});

test('a replica at a new address joins as a learner', t => {
  t.deepEqual(planEnrolment(group, 'c', '10.0.0.3:7'), {
    kind: 'add-learner',
    member: 'c',
    address: '10.0.0.3:7',
  });
});

test('a learner is promoted, and a voter needs no further change', t => {
  const learner = {id: 'c', address: '10.0.0.3:7', voter: false};
  t.deepEqual(planEnrolment([...group, learner], 'c', '10.0.0.3:7'), {
    kind: 'promote',
    member: 'c',
  });
  const voter = {...learner, voter: true};
  t.is(planEnrolment([...group, voter], 'c', '10.0.0.3:7'), undefined);
});
