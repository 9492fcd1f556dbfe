import test from 'ava';
import type {Fault, FaultProxy} from '#bench';
import {describeExecutor, noFault} from '#bench';
import {planJobs} from './jobs.js';
import {longLeases, Harness} from './harness.js';

const shape = {jobs: 16, tasks: 4, taskMs: 300};
/** 8 tasks leave 16 of 24 slots free, so that a task placed a second time would start at once. */
const longShape = {jobs: 4, tasks: 2, taskMs: 8000};
const threeTargets = {
  leases: longLeases,
  targets: ['tally', 'tally', 'tally'].map(service =>
    describeExecutor(service),
  ),
};

test.serial(
  'no answer is lost when open connections to agents silently drop all bytes',
  async t => {
    const harness = await Harness.open(t, {leases: longLeases});
    const submitted = harness.submitOnce(planJobs('silent', shape), 0);
    await harness.waitForStarts(12);
    for (const {proxy} of harness.site.list('agent')) proxy!.swallowOpen();
    harness.assertAllComplete(await submitted);
  },
);

test.serial(
  'a connection that goes silent while tasks wait for slots is detected',
  async t => {
    const harness = await Harness.open(t, {leases: longLeases});
    const holding = planJobs('holding', {jobs: 32, tasks: 1, taskMs: 1500});
    const held = harness.submitOnce(holding, 1);
    await harness.waitForStarts(16);
    const waiting = planJobs('waiting', {...shape, jobs: 4});
    const submitted = harness.submitOnce(waiting, 0);
    await harness.waitUntil('the jobs wait', async () => {
      const {jobsInHand} = await harness.readEntry(0);
      return jobsInHand === waiting.length;
    });
    for (const {proxy} of harness.site.list('agent')) {
      proxy!.swallowOpen('entry-0');
    }
    harness.assertAllComplete([...(await held), ...(await submitted)]);
  },
);

for (const [failure, breakLinks] of [
  ['are reset', (proxy: FaultProxy) => proxy.resetOpen()],
  ['silently drop all bytes', (proxy: FaultProxy) => proxy.swallowOpen()],
] as const) {
  test.serial(
    `running tasks are not started again when open connections to agents ${failure}`,
    async t => {
      const harness = await Harness.open(t, threeTargets);
      const submitted = harness.submitOnce(planJobs('on', longShape), 0);
      await harness.waitForStarts(8);
      for (const {proxy} of harness.site.list('agent')) breakLinks(proxy!);
      harness.assertAllComplete(await submitted);
    },
  );
}

for (const way of ['to-server', 'to-client'] as const) {
  test.serial(
    `tasks sent over a link that already drops bytes ${way} are started once`,
    async t => {
      const harness = await Harness.open(t, threeTargets);
      const jobs = planJobs(`sent-${way}`, {...shape, taskMs: 1500});
      for (const {proxy} of harness.site.list('agent').slice(0, 2)) {
        proxy!.inject({kind: 'swallow', way}, 'entry-0');
      }
      const submitted = harness.submitOnce(jobs, 0);
      await harness.waitForStarts(way === 'to-client' ? 24 : 16);
      for (const {proxy} of harness.site.list('agent')) proxy!.restore();
      harness.assertAllComplete(await submitted);
    },
  );
}

for (const way of ['to-server', 'to-client'] as const) {
  test.serial(
    `a link to an agent that temporarily drops bytes ${way} loses no answer`,
    async t => {
      const harness = await Harness.open(t, {leases: longLeases});
      const {proxy} = harness.site.find('tally-0');
      const submitted = harness.submitOnce(planJobs(way, shape), 0);
      await harness.waitForStarts(12);
      const fault: Fault = {kind: 'swallow', way};
      proxy!.inject(fault, 'entry-0');
      const jobs = planJobs(`other-${way}`, {...shape, taskMs: 20});
      const others = await harness.submitOnce(jobs, 1);
      proxy!.inject(noFault, 'entry-0');
      harness.assertAllComplete([...(await submitted), ...others]);
    },
  );
}

test.serial(
  'no answer is lost when connections between the entries silently drop all bytes',
  async t => {
    const harness = await Harness.open(t, {leases: longLeases});
    const jobs = planJobs('between', {...shape, jobs: 6});
    const first = harness.submitOnce(jobs, 0);
    await harness.waitForJobs(jobs);
    const second = harness.submitAll(jobs, 1);
    for (const {proxy} of harness.site.list('entry')) proxy!.swallowOpen();
    harness.assertAllComplete(await first);
    harness.assertAllComplete(await second);
  },
);
