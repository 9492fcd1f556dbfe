/** Measures how long a takeover reads a full task table over loopback, both ends in this process. */
import type {Either} from 'purify-ts';
import {monotonicClock} from '#model';
import {
  dialPeer,
  type FenceResult,
  type Peer,
  PeerListener,
  type RpcFailure,
} from '#protocol';
import {TaskTable} from '../src/task-table.js';

const recordCount = 200_000;
const jobCount = 1177;
const resultBytes = 120;
const maxRetainedBytes = 24 * 1024 * 1024;
const repetitions = 3;
const limitMs = 20_000;

const getDeadline = () => monotonicClock.now() + limitMs;

/** Creates a table in which every fourth task still runs. */
function fillTable(): TaskTable {
  const table = new TaskTable(maxRetainedBytes, 0);
  const result = {echo: 'x'.repeat(resultBytes)};
  for (let task = 0; task < recordCount; task++) {
    const ref = {job: `${task % jobCount}`.padStart(32, '0'), task};
    table.start(1, ref, Infinity);
    if (task % 4 === 0) continue;
    table.end(ref, {kind: 'succeeded', result}, resultBytes, 1);
  }
  return table;
}

async function fetchAll(peer: Peer) {
  let longestTurnMs = 0;
  let lastTurnAt = performance.now();
  const measureTurn = () => {
    longestTurnMs = Math.max(longestTurnMs, performance.now() - lastTurnAt);
    lastTurnAt = performance.now();
    nextTurn = setImmediate(measureTurn);
  };
  let nextTurn = setImmediate(measureTurn);
  const startedAt = performance.now();
  let tasks = 0;
  let pages = 0;
  for (let after: number | undefined = 0; after !== undefined; pages++) {
    const reply: Either<RpcFailure, FenceResult> = await peer.request(
      'agent.fence',
      {epochs: [1], heir: 2, after},
      getDeadline(),
    );
    const page = reply.unsafeCoerce();
    tasks += page.tasks.length;
    after = page.next;
  }
  clearImmediate(nextTurn);
  const totalMs = Math.round(performance.now() - startedAt);
  return {tasks, pages, totalMs, longestTurnMs: Math.round(longestTurnMs)};
}

for (let i = 0; i < repetitions; i++) {
  const table = fillTable();
  const listened = await PeerListener.listen('127.0.0.1:0', {
    'agent.fence': ({epochs, heir, after}) => {
      const {records: tasks, next} = table.fence(epochs, heir, after);
      return {target: 't', incarnation: 1, tasks, ...(next && {next})};
    },
  });
  await using listener = listened.unsafeCoerce();
  const dialled = await dialPeer(listener.address, {}, getDeadline());
  await using peer = dialled.unsafeCoerce();
  await peer.request('peer.sync', {}, getDeadline());
  console.log(JSON.stringify(await fetchAll(peer)));
}
