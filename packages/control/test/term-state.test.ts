import test from 'ava';
import {ControlMachine} from '../src/state-machine.js';
import {TermState} from '../src/term-state.js';
import {place} from './test-control.js';

const leases = {
  entryLeaseMs: 1000,
  targetLeaseMs: 1000,
  renewalIntervalMs: 100,
  clockMarginMs: 50,
};

function createTermState(entries = 1) {
  let now = 5000;
  let index = 0;
  const machine = new ControlMachine(() => {});
  const termState = new TermState(machine, leases, {now: () => now});
  const run = (command: Parameters<typeof machine.apply>[0][0]['command']) =>
    machine.apply([{index: ++index, term: 1, command}]);
  for (let n = 1; n <= entries; n++) {
    const entry = `e${n}`;
    const address = '127.0.0.1:9';
    run({kind: 'open-entry', time: 0, entry, nonce: entry, address, place});
  }
  // Advances the clock and returns the epochs whose leases have newly expired.
  const pass = (ms: number) => {
    now += ms;
    termState.syncLeases();
    return termState.entryLeases.expire(now);
  };
  return {termState, run, pass};
}

test('a lease expires after its duration and the clock margin, counted from the last renewal', t => {
  const {termState, pass} = createTermState();
  termState.enter(1);
  pass(0);
  t.deepEqual(pass(1000), []);
  t.true(termState.renewEntry(1));
  t.deepEqual(pass(1049), []);
  t.deepEqual(pass(1), [1]);
});

test('an expired lease cannot be renewed and is reported once', t => {
  const {termState, pass} = createTermState();
  termState.enter(1);
  pass(0);
  t.deepEqual(pass(2000), [1]);
  t.false(termState.renewEntry(1));
  t.deepEqual(pass(1), []);
});

test('a new term grants every holder a full lease', t => {
  const {termState, pass} = createTermState(2);
  termState.enter(1);
  pass(0);
  t.is(pass(1049).length, 0);
  termState.enter(2);
  t.deepEqual(pass(1), []);
  t.deepEqual(pass(1049), []);
  t.deepEqual(pass(1), [1, 2]);
});

test('log time does not advance between terms and never decreases', t => {
  const {termState, run, pass} = createTermState();
  termState.enter(1);
  pass(700);
  t.is(termState.readLogTime(), 700);
  run({kind: 'forget', time: 700});
  pass(60_000);
  termState.enter(2);
  t.is(termState.readLogTime(), 700);
  pass(10);
  t.is(termState.readLogTime(), 710);
});

test('the lease of an ended epoch is not renewed', t => {
  const {termState, run} = createTermState();
  termState.enter(1);
  run({kind: 'end-epoch', time: 0, epoch: 1});
  t.false(termState.renewEntry(1));
});

test('an entry gets the demands of its teams at the other live entries', t => {
  const {termState, run} = createTermState(3);
  termState.enter(1);
  t.deepEqual(termState.exchangeDemands(1, {a: 5, b: 7}), {});
  t.deepEqual(termState.exchangeDemands(2, {a: 1, c: 2}), {e1: {a: 5}});
  run({kind: 'close-entry', time: 0, epoch: 1});
  t.deepEqual(termState.exchangeDemands(3, {a: 1, b: 1}), {e2: {a: 1}});
  termState.enter(2);
  t.deepEqual(termState.exchangeDemands(2, {a: 1}), {});
});

// Guards against demands of a team that the entry has not named: every object has a property `toString`.
test('a team named like a property of all objects has its demands exchanged like the others', t => {
  const {termState} = createTermState(2);
  termState.enter(1);
  termState.exchangeDemands(1, {toString: 5, b: 7});
  t.deepEqual(termState.exchangeDemands(2, {b: 1}), {e1: {b: 7}});
  t.deepEqual(termState.exchangeDemands(2, {toString: 1}), {
    e1: {toString: 5},
  });
});
