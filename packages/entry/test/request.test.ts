import test from 'ava';
import {checkRequest, type RawRequest} from '../src/request.js';

const limits = {
  maxTasksPerJob: 3,
  maxBodyBytes: 1000,
  maxDeadlineMs: 60_000,
  retentionMs: 1000,
  unrepeatableRetentionMs: 1000,
  maxQueuedTasks: 100,
};

function check(body: unknown, change: Partial<RawRequest> = {}) {
  const text = typeof body === 'string' ? body : JSON.stringify(body);
  return checkRequest(
    {
      service: 'tally',
      team: 'valley',
      key: 'k1',
      body: Buffer.from(text),
      ...change,
    },
    limits,
  );
}

const one = {tasks: [{payload: 1}]};

test('a valid request produces a submission', t => {
  const {submission, remainingMs} = check({
    ...one,
    deadlineMs: 5000,
  }).unsafeCoerce();
  t.is(remainingMs, 5000);
  t.is(submission.tasks.length, 1);
  t.false(submission.unrepeatable);
});

test('the digest covers the tasks and not the deadline', t => {
  const digest = (body: unknown) =>
    check(body).unsafeCoerce().submission.digest;
  t.is(digest({...one, deadlineMs: 5000}), digest({...one, deadlineMs: 9}));
  t.not(digest(one), digest({tasks: [{payload: 2}]}));
  t.not(digest(one), digest({...one, unrepeatable: true}));
});

for (const [name, body, change, part] of [
  ['text that is not JSON', '{"tasks":', {}, 'not JSON'],
  ['a list for a body', [], {}, 'object'],
  ['no tasks', {}, {}, 'tasks'],
  ['an empty list of tasks', {tasks: []}, {}, 'empty'],
  ['a task without a payload', {tasks: [{}]}, {}, 'payload'],
  ['too many tasks', {tasks: Array(4).fill({payload: 1})}, {}, 'at most 3'],
  ['a deadline of 0', {...one, deadlineMs: 0}, {}, 'deadlineMs'],
  ['a negative deadline', {...one, deadlineMs: -5}, {}, 'deadlineMs'],
  ['an absurd deadline', {...one, deadlineMs: 1e300}, {}, 'deadlineMs'],
  ['a deadline in words', {...one, deadlineMs: 'soon'}, {}, 'deadlineMs'],
  ['no key', one, {key: undefined}, 'Idempotency-Key'],
  ['a key with a space', one, {key: 'a b'}, 'Idempotency-Key'],
  ['a key that is too long', one, {key: 'k'.repeat(201)}, 'Idempotency-Key'],
  ['no team', one, {team: ''}, 'Wasabiring-Team'],
] as const) {
  test(`${name} is refused, naming the invalid part`, t => {
    const bad = check(body, change).swap().unsafeCoerce();
    t.true(bad.detail.includes(part), bad.detail);
  });
}
