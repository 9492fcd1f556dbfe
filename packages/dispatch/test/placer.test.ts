import test from 'ava';
import type {TargetId} from '#model';
import type {CandidateTarget} from '#policy';
import {openLog} from '#telemetry';
import {type ActiveJob, openActiveJob} from '../src/active-job.js';
import {Placer, type PlacementFleet} from '../src/placer.js';
import {buildJob, queue} from './harness.js';

/** Builds a fleet of full targets that counts how often placement reads their used capacity. */
function buildFullFleet(count: number) {
  const seen = {reads: 0};
  const targets = Array.from({length: count}, (_, i): CandidateTarget => {
    const used = {cpuMillis: 4500, memoryMb: 8, accelerators: 0};
    return {
      target: `target-${i}`,
      capacity: {
        kind: 'room',
        cpuMillis: 4000,
        memoryMb: 4096,
        accelerators: 0,
        labels: [],
      },
      get used() {
        seen.reads++;
        return used;
      },
      slowness: 1,
      failing: 0,
      isInSameDomain: true,
      pendingStarts: 0,
    };
  });
  const fleet: PlacementFleet = {
    listTargets: () => targets,
    find: (target: TargetId) => {
      throw new Error(`${target} is full and must not get a run`);
    },
  };
  return {fleet, seen};
}

function openJobs(count: number, tasks: number): readonly ActiveJob[] {
  return Array.from({length: count}, (_, i) => {
    const job = buildJob(`job-${i}`, tasks);
    const submission = {job, queue, arrivedAt: 0, callerDeadline: 4000};
    return openActiveJob(submission, job, true, () => {});
  });
}

test('the cost of placing on full targets grows with jobs plus targets, not with their product', t => {
  const log = openLog('silent', 'agent', 'a');
  const counts = new Map<string, number>();
  for (const [jobs, targets] of [
    [10, 12],
    [200, 12],
    [10, 52],
    [200, 52],
  ] as const) {
    const {fleet, seen} = buildFullFleet(targets);
    const placer = new Placer(fleet, log);
    const waiting = openJobs(jobs, 8);
    t.deepEqual(placer.placeAll(waiting, 10), []);
    seen.reads = 0;
    t.deepEqual(placer.placeAll(waiting, 11), []);
    counts.set(`${jobs} jobs, ${targets} targets`, seen.reads);
    t.true(seen.reads <= 4 * (jobs + targets), JSON.stringify([...counts]));
  }
});

test('a job whose tasks cannot fit in a round costs no look at each of them', t => {
  const {fleet} = buildFullFleet(12);
  const placer = new Placer(fleet, openLog('silent', 'agent', 'a'));
  let reads = 0;
  const waiting = openJobs(200, 170).map(job => {
    const [tasks] = job.state.steps;
    const counted = new Proxy(tasks!, {
      get: (target, key, receiver) => {
        if (/^\d+$/.test(String(key))) reads++;
        return Reflect.get(target, key, receiver) as unknown;
      },
    });
    return Object.assign(job, {state: {...job.state, steps: [counted]}});
  });
  t.deepEqual(placer.placeAll(waiting, 10), []);
  reads = 0;
  t.deepEqual(placer.placeAll(waiting, 11), []);
  t.true(reads <= 2 * waiting.length + 2 * 170, `${reads} reads`);
});

test('tasks that were returned by a full target are tried once for each target that they avoid', t => {
  const targets = 12;
  const {fleet, seen} = buildFullFleet(targets);
  const placer = new Placer(fleet, openLog('silent', 'agent', 'a'));
  const waiting = openJobs(200, 8).map(job => {
    const steps = job.state.steps.map(tasks =>
      tasks.map((task, i) =>
        task.kind === 'ready' ? {...task, avoid: `target-${i}`} : task,
      ),
    );
    return Object.assign(job, {state: {...job.state, steps}});
  });
  t.deepEqual(placer.placeAll(waiting, 10), []);
  seen.reads = 0;
  t.deepEqual(placer.placeAll(waiting, 11), []);
  const avoided = 8;
  t.true(seen.reads <= 4 * avoided * targets, `${seen.reads} reads`);
});

test('a full pool for one avoided target leaves a task that avoids another one placeable', t => {
  const {fleet} = buildFullFleet(2);
  const [full, other] = fleet.listTargets('tally');
  const empty = {cpuMillis: 0, memoryMb: 0, accelerators: 0};
  const placed: string[] = [];
  const open = {...other!, target: 'open', used: empty};
  const placer = new Placer(
    {
      listTargets: () => [full!, open],
      find: target => ({slowness: 1, place: () => void placed.push(target)}),
    },
    openLog('silent', 'agent', 'a'),
  );
  const [first, second] = openJobs(2, 1).map((job, i) => {
    const avoid = i === 0 ? 'open' : full!.target;
    const steps = job.state.steps.map(tasks =>
      tasks.map(task => (task.kind === 'ready' ? {...task, avoid} : task)),
    );
    return Object.assign(job, {state: {...job.state, steps}});
  });
  placer.placeAll([first!, second!], 10);
  t.deepEqual(placed, ['open']);
});

test('a task that waits for a faster target makes the placer ask for a retry', t => {
  const {fleet} = buildFullFleet(1);
  const [fast] = fleet.listTargets('tally');
  const empty = {cpuMillis: 0, memoryMb: 0, accelerators: 0};
  const slow = {...fast!, target: 'slow', used: empty, slowness: 3};
  const placer = new Placer(
    {...fleet, listTargets: () => [fast!, slow]},
    openLog('silent', 'agent', 'a'),
  );
  placer.placeAll(openJobs(1, 1), 10);
  t.true(placer.isWaitingForFaster);
});

test('tasks wait for a rack that comes to them in time, and the others start elsewhere', t => {
  const {fleet} = buildFullFleet(4);
  const near = fleet.listTargets('tally').map(target => ({
    ...target,
    capacity: {...target.capacity, labels: ['rack-0']},
  }));
  const used = {cpuMillis: 0, memoryMb: 0, accelerators: 0};
  const far = {...near[0]!, target: 'far', used};
  const placed: {target: string; runs: number; estimateMs: number}[] = [];
  const placer = new Placer(
    {
      listTargets: () => [
        ...near,
        {...far, capacity: {...far.capacity, labels: [], cpuMillis: 64_000}},
      ],
      find: target => ({
        slowness: 1,
        place: ({runs, estimateMs}) =>
          void placed.push({target, runs: runs.length, estimateMs}),
      }),
    },
    openLog('silent', 'agent', 'a'),
    {locality: {remoteFactor: 3}},
  );
  const jobs = openJobs(1, 16).map(job => {
    const [step] = job.state.job.steps;
    const steps = [{...step!, dataRack: 'rack-0'}];
    const state = {...job.state, job: {...job.state.job, steps}};
    return Object.assign(job, {state});
  });
  placer.placeAll(jobs, 0);
  t.true(placer.isWaitingForFaster);
  t.true(jobs[0]!.nearWaits.get(0)! > 0);
  t.deepEqual(
    placed.map(({target, estimateMs}) => [target, estimateMs]),
    [['far', 150]],
  );
  t.true(placed[0]!.runs < 16);
  placer.placeAll(jobs, jobs[0]!.nearWaits.get(0)!);
  t.is(
    placed.reduce((sum, {runs}) => sum + runs, 0),
    16,
  );
});

test('a task that no target can run now holds back neither its job nor others', t => {
  const {fleet} = buildFullFleet(1);
  const [full] = fleet.listTargets('tally');
  const used = {cpuMillis: 0, memoryMb: 0, accelerators: 0};
  const placed: string[] = [];
  const placer = new Placer(
    {
      listTargets: () => [{...full!, used}],
      find: () => ({slowness: 1, place: ({job}) => void placed.push(job)}),
    },
    openLog('silent', 'agent', 'a'),
  );
  const [job, other] = openJobs(2, 1);
  const [step] = job!.state.job.steps;
  const rare = {...step!, requiredLabel: 'rare'};
  const [tasks] = job!.state.steps;
  const state = {
    ...job!.state,
    job: {...job!.state.job, steps: [step!, rare]},
    steps: [tasks!, tasks!],
  };
  const checked = Object.assign(job!, {state, isFeasibilityChecked: true});
  t.deepEqual(placer.placeAll([checked, other!], 10), [checked]);
  t.deepEqual(placed, ['job-0', 'job-1']);
});
