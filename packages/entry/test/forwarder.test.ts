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

/** A forwarder of region `a` with fakes that record which addresses are queried. */
class Fixture {
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
      jobs: {
        submit: async () => answer('local') ?? refuse('unknown-team'),
        peek: state,
        cancel: state,
      },
      peerEntries: {
        attach: async address => answer(address),
        peek: async () => undefined,
        cancel: state,
      },
    });
  }

  submit(timeoutMs = 20_000) {
    return this.forwarder.submit(submission, monotonicClock.now() + timeoutMs);
  }
}

test('a job is routed to the home region of its team, and stays local when no regions are configured', t => {
  t.is(chooseRoute(configure('b', []), 'a', team).kind, 'local');
  t.is(chooseRoute(configure('a'), 'a', team).kind, 'local');
  t.like(chooseRoute(configure('b'), 'a', team), {
    kind: 'home',
    region: {name: 'b'},
  });
  t.is(chooseRoute(configure(undefined), 'a', team).kind, 'unknown');
});

test('entries of the home region are tried in turn, skipping those that drain', async t => {
  const fixture = new Fixture(configure('b'));
  fixture.answers.set('b:1', refuse('draining')).set('b:2', complete);
  t.is(await fixture.submit(), complete);
  t.deepEqual(fixture.asked, ['b:1', 'b:2']);
});

test('a job whose home region is unreachable is answered as unknown, not run', async t => {
  const fixture = new Fixture(configure('b'));
  t.like(await fixture.submit(50), {
    kind: 'unknown',
    reason: 'home-unreachable',
  });
  t.false(fixture.asked.includes('local'));
  const state = await fixture.forwarder.peek(
    team,
    job,
    monotonicClock.now() + 9,
  );
  t.like(state, {kind: 'answered', answer: {kind: 'unknown'}});
});

test('a job forwarded by another region is not forwarded again', async t => {
  const fixture = new Fixture(configure('b'));
  const deadline = monotonicClock.now() + 20_000;
  t.is((await fixture.forwarder.accept(submission, deadline)).kind, 'unknown');
  t.deepEqual(fixture.asked, []);
});

test('an unknown team is refused only when every region has answered', async t => {
  const fixture = new Fixture(configure(undefined));
  fixture.answers.set('b:1', refuse('unknown-team'));
  t.like(await fixture.submit(), {kind: 'not-run', reason: 'unknown-team'});
  t.deepEqual(fixture.asked, ['b:1', 'local']);
  const unreachable = new Fixture(configure(undefined));
  t.is((await unreachable.submit(50)).kind, 'unknown');
  t.false(unreachable.asked.includes('local'));
});

test('an entry without a configuration from control admits nothing', async t => {
  const fixture = new Fixture(undefined);
  t.is((await fixture.submit(50)).kind, 'unknown');
  t.deepEqual(fixture.asked, []);
});

test('tasks that wait for an unreachable region are bounded; further jobs are answered as unknown at once', async t => {
  const fixture = new Fixture(
    configure('b', ['a', 'b'], submission.tasks.length),
  );
  const waiting = fixture.submit(200);
  t.like(await fixture.submit(), {kind: 'unknown', reason: 'home-unreachable'});
  t.is((await waiting).kind, 'unknown');
  t.is(fixture.forwarder.pending, 0);
});
