import {formatTask, sleep, waitUntil} from '../../runner/test/harness.js';
import {rankRegistrars} from '../src/claims.js';
import {
  buildView,
  type Home,
  longTaskMs,
  startHome,
  startRouter,
} from './harness.js';

/** Starts two entries and three targets, each target with its dispatcher. */
export async function startSite() {
  const lags = new Map<string, number>();
  const homes: Home[] = [];
  for (const id of ['target-0', 'target-1', 'target-2']) {
    homes.push(await startHome(id, {readLagMs: () => lags.get(id) ?? 0}));
  }
  let overlaps = 0;
  for (const {executor} of homes) {
    executor.onStart = ref => {
      const task = formatTask(ref);
      for (const each of homes) each.executor.expireLease();
      if (homes.some(each => each.executor.running.has(task))) overlaps++;
    };
  }
  const addresses = homes.map(({address}) => address);
  const view = buildView(addresses, []);
  const entries = [startRouter(), startRouter()] as const;
  for (const {dispatcher} of homes) dispatcher.follow(view);
  for (const {router} of entries) router.follow(view);
  await waitUntil(
    () =>
      entries.every(({router}) => router.homeCount === homes.length) &&
      homes.every(({dispatcher}) => dispatcher.isConnected),
  );
  await sleep(50);
  // Runs progress as fast as estimated, also beyond 100%, so that none counts as stalled and no
  // target as slow, which would move its runs.
  const startedAt = performance.now();
  for (const {executor} of homes) {
    executor.readPercent = () =>
      (100 * (performance.now() - startedAt)) / longTaskMs;
  }
  return {
    homes,
    view,
    entries,
    lags,
    /** Lists the homes in the order in which they are asked to run a job. */
    rank: (job: string) =>
      rankRegistrars(job, addresses).map(each =>
        homes.find(({address}) => address === each)!,
      ),
    countStarts: () =>
      homes.reduce((sum, {executor}) => sum + executor.starts.length, 0),
    /** Counts the runs that began while another run of the same task was at work, at any executor. */
    countOverlaps: () => overlaps,
    /** Ends a home's process without notice and starts another one at its address, for the same executor. */
    async restart(home: Home, life: number, isNew = true): Promise<Home> {
      const {id, address, executor} = home;
      await home.dispatcher[Symbol.asyncDispose]();
      await home.runner[Symbol.asyncDispose]();
      const readLagMs = () => lags.get(id) ?? 0;
      const next = await startHome(id, {
        readLagMs,
        life,
        address,
        executor,
        isNew,
      });
      homes[homes.indexOf(home)] = next;
      next.dispatcher.follow(view);
      return next;
    },
    countDuplicateStarts: () =>
      homes.reduce((sum, {executor}) => sum + executor.duplicateStarts, 0),
    endAll: () => {
      for (const {executor} of homes) {
        for (const ref of [...executor.running.values()])
          executor.end(ref, 'succeeded');
      }
    },
    async [Symbol.asyncDispose]() {
      for (const each of [...entries, ...homes]) {
        await each[Symbol.asyncDispose]();
      }
    },
  };
}
