import test from 'ava';
import type {JobAnswer} from '#model';
import {AnswerRetention} from '../src/retention.js';

const answer = (job: string, letters: number): JobAnswer => ({
  kind: 'complete',
  job,
  results: ['x'.repeat(letters)],
});

test('the oldest answers are evicted when the size limit is exceeded', t => {
  const evicted: string[] = [];
  const retention = new AnswerRetention(1000, job => evicted.push(job));
  for (const job of ['a', 'b', 'c', 'd']) retention.keep(job, answer(job, 300));
  t.deepEqual(evicted, ['a', 'b']);
  t.true(retention.bytes <= 1000);
});

test('the newest answer is retained even when it alone exceeds the limit', t => {
  const evicted: string[] = [];
  const retention = new AnswerRetention(100, job => evicted.push(job));
  retention.keep('a', answer('a', 500));
  t.deepEqual(evicted, []);
  retention.release('a');
  t.is(retention.bytes, 0);
});
