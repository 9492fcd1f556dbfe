import test from 'ava';
import {Machine} from '../src/machine.js';
import {Office} from '../src/office.js';
import {place} from './site.js';

const leases = {
  entryLeaseMs: 1000,
  targetLeaseMs: 1000,
  renewalIntervalMs: 100,
  clockMarginMs: 50,
};

function createOffice(entries = 1) {
  let now = 5000;
  let index = 0;
  const machine = new Machine(() => {});
  const office = new Office(machine, leases, {now: () => now});
  const run = (command: Parameters<typeof machine.apply>[0][0]['command']) =>
    machine.apply([{index: ++index, term: 1, command}]);
  for (let n = 1; n <= entries; n++) {
    const entry = `e${n}`;
    const address = '127.0.0.1:9';
    run({kind: 'open-entry', time: 0, entry, nonce: entry, address, place});
  }
  const pass = (ms: number) => {
    now += ms;
    office.matchLeases();
    return office.entries.expire(now);
  };
  return {office, run, pass};
}

test('a lease runs out after its time and the margin, counted from the last renewal', t => {
  const {office, pass} = createOffice();
  office.begin(1);
  pass(0);
  t.deepEqual(pass(1000), []);
  t.true(office.renewEntry(1));
  t.deepEqual(pass(1049), []);
  t.deepEqual(pass(1), [1]);
});

test('a lease that is ending cannot be renewed and is reported once', t => {
  const {office, pass} = createOffice();
  office.begin(1);
  pass(0);
  t.deepEqual(pass(2000), [1]);
  t.false(office.renewEntry(1));
  t.deepEqual(pass(1), []);
});

test('a new term gives everyone a whole lease', t => {
  const {office, pass} = createOffice(2);
  office.begin(1);
  pass(0);
  t.is(pass(1049).length, 0);
  office.begin(2);
  t.deepEqual(pass(1), []);
  t.deepEqual(pass(1049), []);
  t.deepEqual(pass(1), [1, 2]);
});

test('log time stands still between terms and never goes back', t => {
  const {office, run, pass} = createOffice();
  office.begin(1);
  pass(700);
  t.is(office.tellTime(), 700);
  run({kind: 'forget', time: 700});
  pass(60_000);
  office.begin(2);
  t.is(office.tellTime(), 700);
  pass(10);
  t.is(office.tellTime(), 710);
});

test('an epoch that ended is not renewed', t => {
  const {office, run} = createOffice();
  office.begin(1);
  run({kind: 'end-epoch', time: 0, epoch: 1});
  t.false(office.renewEntry(1));
});

test('entries learn what teams that they told of ask of the other live ones', t => {
  const {office, run} = createOffice(3);
  office.begin(1);
  t.deepEqual(office.exchangeDemands(1, {a: 5, b: 7}), {});
  t.deepEqual(office.exchangeDemands(2, {a: 1, c: 2}), {e1: {a: 5}});
  run({kind: 'close-entry', time: 0, epoch: 1});
  t.deepEqual(office.exchangeDemands(3, {a: 1, b: 1}), {e2: {a: 1}});
  office.begin(2);
  t.deepEqual(office.exchangeDemands(2, {a: 1}), {});
});
