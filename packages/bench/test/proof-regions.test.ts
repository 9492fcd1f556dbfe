import test, {type ExecutionContext} from 'ava';
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {
  Caller,
  countOutcomes,
  describeExecutor,
  describeSite,
  type Fault,
  hasNoViolations,
  type JobRecord,
  type PlannedJob,
  readJournal,
  type Site,
  waitUntil,
} from '#bench';
import {deriveJobId, monotonicClock} from '#model';
import {dialPeer} from '#protocol';
import {exitCode} from '#telemetry';
import {
  isAccepted,
  originRegion,
  otherRegion,
  RegionPair,
} from '../src/regions.js';
import {VersionMonitor} from '../src/version-monitor.js';
import {type JobShape, planJobs} from './jobs.js';

const maxWaitMs = 60_000;
const requestTimeoutMs = 1000;
const retryPolicy = {maxAttempts: 100, maxPauseMs: 500};
const shape = {jobs: 6, tasks: 3, taskMs: 100};
const homeRegionByTeam = {
  'herd-registry': originRegion,
  licensing: originRegion,
  crossings: otherRegion,
};

interface ControlCounts {
  readonly origin: number;
  readonly other: number;
}

/** Starts two regions that are stopped after the test. */
async function openRegions(
  t: ExecutionContext,
  controls: ControlCounts = {origin: 1, other: 1},
): Promise<RegionPair> {
  const data = mkdtempSync(join(tmpdir(), 'wasabiring-regions-'));
  const regions = await RegionPair.start(homeRegionByTeam, region =>
    describeSite(join(data, region), {
      region,
      controls: region === originRegion ? controls.origin : controls.other,
      entries: 1,
      targets: [describeExecutor('tally')],
      proxied: true,
    }),
  );
  t.teardown(async () => {
    await regions[Symbol.asyncDispose]();
    if (t.passed) rmSync(data, {recursive: true});
  });
  return regions;
}

function planFor(team: string, label: string, change: Partial<JobShape> = {}) {
  return planJobs(label, {...shape, ...change}).map(plan => ({
    ...plan,
    team,
    job: deriveJobId(team, plan.key),
  }));
}

async function submitAt(
  t: ExecutionContext,
  site: Site,
  jobs: readonly PlannedJob[],
  policy = retryPolicy,
): Promise<readonly JobRecord[]> {
  const caller = new Caller(site.entryUrls);
  t.teardown(() => caller[Symbol.asyncDispose]());
  return Promise.all(jobs.map(plan => caller.submit(plan, 0, policy)));
}

/** Asserts that every job is complete and no guarantee is violated. */
function assertComplete(
  t: ExecutionContext,
  {origin, other}: RegionPair,
  records: readonly JobRecord[],
): void {
  const starts = [origin, other].flatMap(({journal}) => readJournal(journal));
  const counts = countOutcomes(starts, records);
  t.true(hasNoViolations(counts), JSON.stringify(counts));
  t.is(counts.complete, records.length);
}

async function askControl({plan}: Site['members'][number]) {
  const deadline = monotonicClock.now() + requestTimeoutMs;
  const dialled = await dialPeer(plan.listen, {}, deadline);
  const peer = dialled.toMaybe().extract();
  const status = await peer?.request('control.status', {}, deadline);
  peer?.close('asked');
  return status?.toMaybe().extract();
}

async function waitForLeader(site: Site): Promise<string> {
  let leader: string | undefined;
  await waitUntil('a control replica is the leader', maxWaitMs, async () => {
    for (const member of site.list('control')) {
      const status = await askControl(member);
      if (status?.role === 'leader') leader = member.name;
    }
    return leader !== undefined;
  });
  return leader!;
}

/** Waits until a version is in force at every running process of both regions. */
function waitUntilInForce(
  monitors: readonly VersionMonitor[],
  version: number,
): Promise<void> {
  return waitUntil(
    `version ${version} is in force in both regions`,
    maxWaitMs,
    () => monitors.every(monitor => monitor.lowestSeen >= version),
  );
}

const partitionFaults: readonly Fault[] = [
  {kind: 'swallow', way: 'both'},
  {kind: 'cut'},
];

for (const fault of partitionFaults) {
  test.serial(
    `partitioned regions (${fault.kind}) serve their own teams and catch up afterwards`,
    async t => {
      const regions = await openRegions(t);
      const {origin, other} = regions;
      await using originMonitor = new VersionMonitor(origin);
      await using otherMonitor = new VersionMonitor(other);
      await waitUntilInForce([originMonitor, otherMonitor], 2);
      const forwarded = await submitAt(
        t,
        origin,
        planFor('crossings', 'passed'),
      );
      assertComplete(t, regions, forwarded);

      regions.inject(fault);
      const local = await Promise.all([
        submitAt(t, origin, planFor('herd-registry', 'near')),
        submitAt(t, other, planFor('crossings', 'far')),
      ]);
      assertComplete(t, regions, local.flat());
      t.true(isAccepted(await regions.apply(origin, 'while-apart', 2)));
      await waitUntil(
        'the change is in force at the origin',
        maxWaitMs,
        () => originMonitor.lowestSeen === 3,
      );
      const remoteJobs = planFor('crossings', 'lost', {
        jobs: 2,
        deadlineMs: 6000,
      });
      const singleAttempt = {...retryPolicy, maxAttempts: 1};
      const unreachable = await submitAt(t, origin, remoteJobs, singleAttempt);
      for (const {attempts} of unreachable) {
        t.like(attempts[0]!.outcome, {
          kind: 'unknown',
          reason: 'home-unreachable',
        });
      }
      t.is(await regions.apply(other, 'from-afar', 3, 4000), exitCode.unknown);
      t.is(otherMonitor.highestSeen, 2);

      regions.restore();
      await waitUntilInForce([originMonitor, otherMonitor], 3);
      t.true(isAccepted(await regions.apply(other, 'from-afar', 3)));
      await waitUntilInForce([originMonitor, otherMonitor], 4);
      const resubmitted = await submitAt(t, origin, remoteJobs);
      assertComplete(
        t,
        regions,
        resubmitted.map(({plan, attempts}, i) => ({
          plan,
          attempts: [...unreachable[i]!.attempts, ...attempts],
        })),
      );
      t.deepEqual(
        [...originMonitor.regressions, ...otherMonitor.regressions],
        [],
      );
    },
  );
}

test.serial(
  'a change is accepted after the control leader of the origin is killed',
  async t => {
    const regions = await openRegions(t, {origin: 3, other: 1});
    const {origin, other} = regions;
    await using otherMonitor = new VersionMonitor(other);
    await waitUntilInForce([otherMonitor], 2);
    await origin.kill(await waitForLeader(origin), 'SIGKILL');
    t.true(isAccepted(await regions.apply(other, 'by-the-next', 2)));
    await waitUntilInForce([otherMonitor], 3);
    t.deepEqual(otherMonitor.regressions, []);
  },
);

test.serial(
  'a region whose control leader is killed while it catches up adopts the newest version',
  async t => {
    const regions = await openRegions(t, {origin: 1, other: 3});
    const {origin, other} = regions;
    await using otherMonitor = new VersionMonitor(other);
    await waitUntilInForce([otherMonitor], 2);
    const leader = await waitForLeader(other);
    regions.inject({kind: 'cut'});
    for (const version of [2, 3, 4]) {
      const changeId = `apart-${version}`;
      t.true(isAccepted(await regions.apply(origin, changeId, version)));
    }
    regions.restore();
    const killed = other.kill(leader, 'SIGKILL');
    await waitUntilInForce([otherMonitor], 5);
    await killed;
    await other.restart(leader);
    await waitUntil(
      'the restarted replica has caught up',
      maxWaitMs,
      async () => {
        const status = await askControl(other.find(leader));
        return status?.configVersion === 5;
      },
    );
    t.deepEqual(otherMonitor.regressions, []);
  },
);
