import test from 'ava';
import type {Instant} from '#model';
import type {LeaseGrant, Renewal} from '#protocol';
import {EntryLease} from '../src/lease.js';

const settings = {
  entryLeaseMs: 1000,
  targetLeaseMs: 1000,
  renewalIntervalMs: 5,
  clockMarginMs: 100,
};
const leaseMs = 1000;
/** How long control takes to open an epoch, in ms. */
const openMs = 500;

/** A lease with a clock that the test sets and the given renewal function. */
function openLease(
  renew: () => Promise<Renewal | undefined>,
  grants: LeaseGrant[] = [{epoch: 1, leaseMs, configVersion: 1}],
) {
  let now: Instant = 0;
  const ended: number[] = [];
  const lease = new EntryLease(
    {
      open: async () => {
        now += openMs;
        return grants.shift();
      },
      renew,
      close: async () => {},
      onOpened: () => {},
      onEnded: epoch => ended.push(epoch),
    },
    settings,
    {now: () => now},
  );
  return {lease, ended, setTime: (time: Instant) => (now = time)};
}

async function waitUntil(holds: () => boolean): Promise<void> {
  while (!holds()) await new Promise(setImmediate);
}

test('tasks may not start within the clock margin before the lease ends, although the epoch is still held', async t => {
  const {lease, setTime} = openLease(async () => undefined);
  await waitUntil(() => lease.epoch === 1);
  setTime(899);
  t.is(lease.startingEpoch, 1);
  setTime(900);
  t.is(lease.startingEpoch, undefined);
  t.is(lease.epoch, 1);
  await lease[Symbol.asyncDispose]();
});

test('a renewed lease is timed from the sending of the request, however late the reply is', async t => {
  const answers: ((renewal: Renewal) => void)[] = [];
  const {lease, setTime} = openLease(
    () => new Promise(resolve => answers.push(resolve)),
  );
  await waitUntil(() => lease.epoch === 1);
  await waitUntil(() => answers.length === 1);
  setTime(1600);
  answers[0]!({kind: 'renewed', leaseMs, configVersion: 1});
  await waitUntil(() => answers.length === 2);
  t.is(lease.startingEpoch, undefined);
  setTime(1400);
  t.is(lease.startingEpoch, undefined);
  setTime(1399);
  t.is(lease.startingEpoch, 1);
  answers[1]!({kind: 'ended'});
  await lease[Symbol.asyncDispose]();
});

test('no task starts under an epoch that control has ended', async t => {
  const {lease, ended} = openLease(async () => ({kind: 'ended'}));
  await waitUntil(() => ended.length === 1);
  t.is(lease.startingEpoch, undefined);
  t.is(lease.epoch, undefined);
  await lease[Symbol.asyncDispose]();
});
