import test from 'ava';
import fc from 'fast-check';
import {Packr, Unpackr} from 'msgpackr';
import {
  applyCommand,
  applyUpdate,
  buildView,
  createState,
  decodeSnapshot,
  emptyView,
  encodeSnapshot,
  isDomainName,
  isKnownDomain,
  listDomains,
} from '#membership';
import {Log, place, target} from './builders.js';

const seeded = {seed: 20261206, numRuns: 300};
const domains = ['a', 'b', 'c'];

interface Order {
  readonly domain: string;
  readonly evacuated: boolean;
  readonly changeId?: string;
}

const orders = fc.array(
  fc.record({
    domain: fc.constantFrom(...domains),
    evacuated: fc.boolean(),
    changeId: fc.option(
      fc.integer({min: 1, max: 6}).map(n => `c${n}`),
      {nil: undefined},
    ),
  }),
  {maxLength: 60},
);

function createOrder({domain, evacuated, changeId}: Order) {
  return {
    kind: 'set-evacuation' as const,
    time: 0,
    domain,
    evacuated,
    ...(changeId !== undefined && {changeId}),
  };
}

const list = (log: Log) => [...log.state.evacuations.evacuated].sort();

test('the latest order for each domain counts, in any order and however often each is repeated', t => {
  fc.assert(
    fc.property(orders, history => {
      const log = new Log();
      const expected = new Map<string, boolean>();
      const seen = new Set<string>();
      for (const order of history) {
        const before = log.state.evacuations.version;
        t.deepEqual(log.run(createOrder(order)), {kind: 'done'});
        const {domain, evacuated, changeId = ''} = order;
        const isRepeat = seen.has(changeId);
        if (changeId !== '') seen.add(changeId);
        const hasEffect =
          !isRepeat && (expected.get(domain) ?? false) !== evacuated;
        if (hasEffect) expected.set(domain, evacuated);
        t.is(log.state.evacuations.version - before, hasEffect ? 1 : 0);
      }
      t.deepEqual(
        list(log),
        domains.filter(domain => expected.get(domain)),
      );
    }),
    seeded,
  );
});

test('an order without an id that comes again after no other change is done', t => {
  const log = new Log();
  const start = createOrder({domain: 'a', evacuated: true});
  t.deepEqual(
    [log.run(start), log.run(start)],
    [{kind: 'done'}, {kind: 'done'}],
  );
  const finish = createOrder({domain: 'a', evacuated: false});
  t.deepEqual(
    [log.run(finish), log.run(finish)],
    [{kind: 'done'}, {kind: 'done'}],
  );
  t.is(log.state.evacuations.version, 2);
});

test('a repeated change id does not undo what another operator did since, also after a snapshot', t => {
  const first = createOrder({domain: 'a', evacuated: true, changeId: 'c1'});
  const log = new Log();
  log.run(first);
  log.run(createOrder({domain: 'a', evacuated: false, changeId: 'c2'}));
  const restored = decodeSnapshot(encodeSnapshot(log.state)).unsafeCoerce();
  t.deepEqual(applyCommand(restored, first, 3).changes, []);
  t.deepEqual([...restored.evacuations.evacuated], []);
});

test('a snapshot of a build without evacuations restores none, and the domains of live processes are known', t => {
  const log = new Log();
  log.openEntry('e1');
  log.run({
    kind: 'announce-target',
    time: 0,
    target: {...target('t1'), place: {...place(), failureDomain: 'b'}},
  });
  log.run(createOrder({domain: 'a', evacuated: true}));
  const current = new Unpackr({useRecords: false}).unpack(
    Buffer.from(encodeSnapshot(log.state)),
  ) as Record<string, unknown>;
  const older = {...current, evacuations: undefined};
  const restored = decodeSnapshot(
    new Packr({useRecords: false}).pack(older),
  ).unsafeCoerce();
  t.is(restored.evacuations.evacuated.size, 0);
  t.deepEqual([...restored.evacuations.known].sort(), ['a', 'b']);
});

test('replicas that know different domains apply an order alike', t => {
  const [whole, other] = [createState(), createState()];
  other.evacuations.known.add('a');
  const order = createOrder({domain: 'a', evacuated: true});
  t.deepEqual(applyCommand(whole, order, 1), applyCommand(other, order, 1));
});

test('a domain stays known once a process was there; any name is known while the group is young', t => {
  const log = new Log();
  log.run({kind: 'announce-target', time: 0, target: target('t1')});
  log.run({kind: 'target-gone', time: 0, target: 't1', incarnation: 1});
  const {evacuations} = log.state;
  t.true(isKnownDomain(evacuations, 'a', 60_000));
  t.false(isKnownDomain(evacuations, 'b', 60_000));
  t.true(isKnownDomain(evacuations, 'b', 10_000));
  log.run(createOrder({domain: 'b', evacuated: true}));
  log.run(createOrder({domain: 'b', evacuated: false}));
  t.true(isKnownDomain(evacuations, 'b', 60_000));
});

test('the list tells what is in each domain', t => {
  const log = new Log();
  log.openEntry('e1');
  log.run({kind: 'announce-target', time: 0, target: target('t1')});
  log.run(createOrder({domain: 'b', evacuated: true}));
  const {evacuations, targets, epochs} = log.state;
  const entries = [...epochs.live.values()].map(({info}) => info);
  t.deepEqual(listDomains(evacuations, targets.values(), entries), {
    version: 1,
    domains: [
      {domain: 'a', evacuated: false, targets: 1, entries: 1},
      {domain: 'b', evacuated: true, targets: 0, entries: 0},
    ],
  });
});

test('a name has 1 to 255 bytes and no control characters', t => {
  t.true(isDomainName('Gilgit Hunza/2'));
  t.true(isDomainName('é'.repeat(127)));
  for (const name of ['', 'é'.repeat(128), 'a\nb', 'a\u0000']) {
    t.false(isDomainName(name));
  }
});

test('a full view of a build without evacuations has none', t => {
  const view = {...buildView(createState()), evacuated: undefined};
  const result = applyUpdate(emptyView, {kind: 'full', revision: 1, view});
  t.true(result.kind === 'applied' && result.view.evacuated.size === 0);
});
