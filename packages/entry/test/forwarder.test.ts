import test from 'ava';
import type {Configuration, JobAnswer} from '#model';
import {monotonicClock} from '#model';
import {chooseRoute, Forwarder} from '../src/forwarder.js';
import {buildSubmission} from './builders.js';

const submission = buildSubmission('k');
const {job, team} = submission;
const complete: JobAnswer = {kind: 'complete', job, results: []};
const refuse = (reason: 'unknown-team' | 'draining'): JobAnswer => ({
  kind: 'not-run',
  job,
  reason,
  detail: '',
  retryAfterMs: 0,
});

function configure(
  homeRegion: string | undefined,
  regions = ['a', 'b'],
  maxQueuedTasks = 1000,
): Configuration {
  const quota = {tasksPerSecond: 1, burstTasks: 1, weight: 1};
  return {
    services: [],
    queues: [],
    limits: {maxQueuedTasks} as Configuration['limits'],
    teams: homeRegion === undefined ? [] : [{name: team, homeRegion, ...quota}],
    regions: regions.map(name => ({name, entries: [`${name}:1`, `${name}:2`]})),
  };
}

/** A forwarder of region `a` among fakes, which notes whom it asks. */
class Bench {
  readonly asked: string[] = [];
  readonly answers = new Map<string, JobAnswer>();
  readonly forwarder: Forwarder;

  constructor(configuration: Configuration | undefined) {
    const answer = (address: string) => {
      this.asked.push(address);
      return this.answers.get(address);
    };
    const state = async () => ({kind: 'absent'}) as const;
    this.forwarder = new Forwarder({
      clock: monotonicClock,
      region: 'a',
      getConfiguration: () => configuration,
      desk: {
        submit: async () => answer('desk') ?? refuse('unknown-team'),
        peek: state,
        cancel: state,
      },
      neighbours: {
        attach: async address => answer(address),
        peek: async () => undefined,
        cancel: state,
      },
    });
  }

  submit(withinMs = 20_000) {
    return this.forwarder.submit(submission, monotonicClock.now() + withinMs);
  }
}

test('a team goes to its home, and nowhere else without regions', t => {
  t.is(chooseRoute(configure('b', []), 'a', team).kind, 'local');
  t.is(chooseRoute(configure('a'), 'a', team).kind, 'local');
  t.like(chooseRoute(configure('b'), 'a', team), {
    kind: 'home',
    region: {name: 'b'},
  });
  t.is(chooseRoute(configure(undefined), 'a', team).kind, 'unknown');
});

test('entries of the home region are asked in turn, those that leave are passed over', async t => {
  const bench = new Bench(configure('b'));
  bench.answers.set('b:1', refuse('draining')).set('b:2', complete);
  t.is(await bench.submit(), complete);
  t.deepEqual(bench.asked, ['b:1', 'b:2']);
});

test('a job whose home cannot be reached is unknown, never not run', async t => {
  const bench = new Bench(configure('b'));
  t.like(await bench.submit(50), {kind: 'unknown', reason: 'home-unreachable'});
  t.false(bench.asked.includes('desk'));
  const state = await bench.forwarder.peek(team, job, monotonicClock.now() + 9);
  t.like(state, {kind: 'answered', answer: {kind: 'unknown'}});
});

test('a job passed on by another region is not passed on again', async t => {
  const bench = new Bench(configure('b'));
  const deadline = monotonicClock.now() + 20_000;
  t.is((await bench.forwarder.accept(submission, deadline)).kind, 'unknown');
  t.deepEqual(bench.asked, []);
});

test('an unknown team is refused only when every region was asked', async t => {
  const bench = new Bench(configure(undefined));
  bench.answers.set('b:1', refuse('unknown-team'));
  t.like(await bench.submit(), {kind: 'not-run', reason: 'unknown-team'});
  t.deepEqual(bench.asked, ['b:1', 'desk']);
  const cut = new Bench(configure(undefined));
  t.is((await cut.submit(50)).kind, 'unknown');
  t.false(cut.asked.includes('desk'));
});

test('an entry without a configuration from control admits nothing', async t => {
  const bench = new Bench(undefined);
  t.is((await bench.submit(50)).kind, 'unknown');
  t.deepEqual(bench.asked, []);
});

test('what waits for a region out of reach is bounded; the rest is unknown at once', async t => {
  const bench = new Bench(configure('b', ['a', 'b'], submission.tasks.length));
  const waiting = bench.submit(200);
  t.like(await bench.submit(), {kind: 'unknown', reason: 'home-unreachable'});
  t.is((await waiting).kind, 'unknown');
  t.is(bench.forwarder.pending, 0);
});
