import test from 'ava';
import type {Fault, FaultProxy} from '#bench';
import {describeExecutor, noFault} from '#bench';
import {planJobs} from './jobs.js';
import {steadyLeases, Stand} from './stand.js';

const shape = {jobs: 16, tasks: 4, taskMs: 300};
/** Slots of two targets of three stay free, so that a task placed again would start at once. */
const longShape = {jobs: 4, tasks: 2, taskMs: 8000};
const threeTargets = {
  leases: steadyLeases,
  targets: ['tally', 'tally', 'tally'].map(service =>
    describeExecutor(service),
  ),
};

test.serial(
  'open connections to agents that go silent for good cost no answer',
  async t => {
    const stand = await Stand.open(t, {leases: steadyLeases});
    const submitted = stand.submitOnce(planJobs('silent', shape), 0);
    await stand.waitForStarts(12);
    for (const {proxy} of stand.site.list('agent')) proxy!.swallowOpen();
    stand.assertAllComplete(await submitted);
  },
);

test.serial(
  'a connection that goes silent while tasks wait for its slots is noticed',
  async t => {
    const stand = await Stand.open(t, {leases: steadyLeases});
    const holding = planJobs('holding', {jobs: 32, tasks: 1, taskMs: 1500});
    const held = stand.submitOnce(holding, 1);
    await stand.waitForStarts(16);
    const waiting = planJobs('waiting', {...shape, jobs: 4});
    const submitted = stand.submitOnce(waiting, 0);
    await stand.waitUntil('the jobs wait', async () => {
      const {jobsInHand} = await stand.readEntry(0);
      return jobsInHand === waiting.length;
    });
    for (const {proxy} of stand.site.list('agent')) {
      proxy!.swallowOpen('entry-0');
    }
    stand.assertAllComplete([...(await held), ...(await submitted)]);
  },
);

for (const [how, breakLinks] of [
  ['are reset', (proxy: FaultProxy) => proxy.resetOpen()],
  ['go silent for good', (proxy: FaultProxy) => proxy.swallowOpen()],
] as const) {
  test.serial(
    `tasks that run on while open connections to agents ${how} are not started again`,
    async t => {
      const stand = await Stand.open(t, threeTargets);
      const submitted = stand.submitOnce(planJobs('on', longShape), 0);
      await stand.waitForStarts(8);
      for (const {proxy} of stand.site.list('agent')) breakLinks(proxy!);
      stand.assertAllComplete(await submitted);
    },
  );
}

for (const way of ['to-server', 'to-client'] as const) {
  test.serial(
    `tasks sent on a link that swallows bytes ${way} from before the start are started once`,
    async t => {
      const stand = await Stand.open(t, threeTargets);
      const jobs = planJobs(`sent-${way}`, {...shape, taskMs: 1500});
      for (const {proxy} of stand.site.list('agent').slice(0, 2)) {
        proxy!.inject({kind: 'swallow', way}, 'entry-0');
      }
      const submitted = stand.submitOnce(jobs, 0);
      await stand.waitForStarts(way === 'to-client' ? 24 : 16);
      for (const {proxy} of stand.site.list('agent')) proxy!.restore();
      stand.assertAllComplete(await submitted);
    },
  );
}

for (const way of ['to-server', 'to-client'] as const) {
  test.serial(
    `a link to an agent that swallows bytes ${way} for a while costs no answer`,
    async t => {
      const stand = await Stand.open(t, {leases: steadyLeases});
      const {proxy} = stand.site.find('tally-0');
      const submitted = stand.submitOnce(planJobs(way, shape), 0);
      await stand.waitForStarts(12);
      const fault: Fault = {kind: 'swallow', way};
      proxy!.inject(fault, 'entry-0');
      const jobs = planJobs(`other-${way}`, {...shape, taskMs: 20});
      const others = await stand.submitOnce(jobs, 1);
      proxy!.inject(noFault, 'entry-0');
      stand.assertAllComplete([...(await submitted), ...others]);
    },
  );
}

test.serial(
  'connections between the entries that go silent for good cost no answer',
  async t => {
    const stand = await Stand.open(t, {leases: steadyLeases});
    const jobs = planJobs('between', {...shape, jobs: 6});
    const first = stand.submitOnce(jobs, 0);
    await stand.waitForJobs(jobs);
    const second = stand.submitAll(jobs, 1);
    for (const {proxy} of stand.site.list('entry')) proxy!.swallowOpen();
    stand.assertAllComplete(await first);
    stand.assertAllComplete(await second);
  },
);
