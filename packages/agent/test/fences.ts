/** Measures a takeover of a full start table over loopback, both ends in this process. */
import type {Either} from 'purify-ts';
import {monotonicClock} from '#model';
import {
  dialPeer,
  type FenceResult,
  type Peer,
  PeerListener,
  type RpcFailure,
} from '#protocol';
import {Ledger} from '../src/ledger.js';

const records = 200_000;
const jobs = 1177;
const resultBytes = 120;
const maxRetainedBytes = 24 * 1024 * 1024;
const repetitions = 3;
const limitMs = 20_000;

const soon = () => monotonicClock.now() + limitMs;

/** A table in which every fourth task still runs. */
function fillLedger(): Ledger {
  const ledger = new Ledger(maxRetainedBytes, 0);
  const result = {echo: 'x'.repeat(resultBytes)};
  for (let task = 0; task < records; task++) {
    const ref = {job: `${task % jobs}`.padStart(32, '0'), task};
    ledger.start(1, ref, Infinity);
    if (task % 4 === 0) continue;
    ledger.end(ref, {kind: 'succeeded', result}, resultBytes, 1);
  }
  return ledger;
}

async function fetchAll(peer: Peer) {
  let longestTurnMs = 0;
  let turnedAt = performance.now();
  const turn = () => {
    longestTurnMs = Math.max(longestTurnMs, performance.now() - turnedAt);
    turnedAt = performance.now();
    turning = setImmediate(turn);
  };
  let turning = setImmediate(turn);
  const startedAt = performance.now();
  let tasks = 0;
  let pages = 0;
  for (let after: number | undefined = 0; after !== undefined; pages++) {
    const reply: Either<RpcFailure, FenceResult> = await peer.request(
      'agent.fence',
      {epochs: [1], heir: 2, after},
      soon(),
    );
    const page = reply.unsafeCoerce();
    tasks += page.tasks.length;
    after = page.next;
  }
  clearImmediate(turning);
  const totalMs = Math.round(performance.now() - startedAt);
  return {tasks, pages, totalMs, longestTurnMs: Math.round(longestTurnMs)};
}

for (let i = 0; i < repetitions; i++) {
  const ledger = fillLedger();
  const listened = await PeerListener.listen('127.0.0.1:0', {
    'agent.fence': ({epochs, heir, after}) => {
      const {records: tasks, next} = ledger.fence(epochs, heir, after);
      return {target: 't', incarnation: 1, tasks, ...(next && {next})};
    },
  });
  await using listener = listened.unsafeCoerce();
  const dialled = await dialPeer(listener.address, {}, soon());
  await using peer = dialled.unsafeCoerce();
  await peer.request('peer.sync', {}, soon());
  console.log(JSON.stringify(await fetchAll(peer)));
}
