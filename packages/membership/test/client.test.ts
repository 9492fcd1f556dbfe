import {connect, createServer, type Socket} from 'node:net';
import test from 'ava';
import {monotonicClock} from '#model';
import {
  type Handlers,
  type Peer,
  PeerListener,
  type ViewUpdate,
} from '#protocol';
import {ControlClient, type View} from '#membership';
import {target} from './builders.js';

const createDeadline = () => monotonicClock.now() + 20_000;
const lookup = {jobs: []};

function listen(handlers: Handlers): Promise<PeerListener> {
  return PeerListener.listen('127.0.0.1:0', handlers).then(opened =>
    opened.unsafeCoerce(),
  );
}

/** Runs a test case with a client of the given replicas, then closes them all. */
async function serveReplicas(
  replicas: readonly Handlers[],
  run: (client: ControlClient) => Promise<void>,
): Promise<void> {
  const listeners = await Promise.all(replicas.map(listen));
  const controls = listeners.map(({address}) => address);
  const client = new ControlClient({controls});
  await run(client);
  await client[Symbol.asyncDispose]();
  for (const listener of listeners) await listener[Symbol.asyncDispose]();
}

const leader: Handlers = {
  'control.lookup': () => ({kind: 'done', value: []}),
};

const full = (revision: number, version: number): ViewUpdate => ({
  kind: 'full',
  revision,
  view: {
    targets: [],
    gone: [],
    entries: [],
    ended: [],
    configuration: {
      version,
      changeId: `c${version}`,
      author: 'a',
      source: {base: '', overlays: {}},
    },
  },
});

const join = (name: string, from: number, revision: number): ViewUpdate => ({
  kind: 'delta',
  from,
  revision,
  changes: [{kind: 'target-joined', target: target(name)}],
});

test('a request follows the redirect to a leader that is not in the address list', async t => {
  const hidden = await listen(leader);
  const follower: Handlers = {
    'control.lookup': () => ({kind: 'not-leader', leader: hidden.address}),
  };
  await serveReplicas([follower], async client => {
    const reply = await client.request(
      'control.lookup',
      lookup,
      createDeadline(),
    );
    t.deepEqual(reply.extract(), []);
  });
  await hidden[Symbol.asyncDispose]();
});

test('a request is retried at another replica when one never answers', async t => {
  const silent: Handlers = {'control.lookup': () => new Promise(() => {})};
  await serveReplicas([silent, leader], async client => {
    const reply = await client.request(
      'control.lookup',
      lookup,
      createDeadline(),
    );
    t.deepEqual(reply.extract(), []);
  });
});

test('a failure states whether an earlier attempt may have been applied', async t => {
  const ask = async (maybeApplied: boolean) => {
    let asked = 0;
    const deposed: Handlers = {
      'control.lookup': () => {
        if (asked++ > 0) throw new Error('no such thing');
        return {kind: 'not-leader', maybeApplied};
      },
    };
    let outcome: unknown;
    await serveReplicas([deposed], async client => {
      const reply = await client.request(
        'control.lookup',
        lookup,
        createDeadline(),
      );
      outcome = reply.swap().unsafeCoerce().maybeApplied;
    });
    return outcome;
  };
  t.is(await ask(false), false);
  t.is(await ask(true), true);
});

test('a request that control rejects is not retried', async t => {
  let asked = 0;
  const strict: Handlers = {
    'control.lookup': () => {
      asked++;
      throw new Error('no such thing');
    },
  };
  await serveReplicas([strict], async client => {
    const reply = await client.request(
      'control.lookup',
      lookup,
      createDeadline(),
    );
    const failure = reply.swap().unsafeCoerce();
    t.like(failure, {kind: 'rejected', maybeApplied: false});
    t.is(asked, 1);
  });
});

test('after a gap the watch requests the missing updates', async t => {
  const asked: number[] = [];
  const replica: Handlers = {
    'control.watch': ({since}, peer: Peer) => {
      asked.push(since);
      if (since > 0) return join('t1', since, 9);
      setTimeout(() => peer.notify('watcher.update', join('t2', 8, 10)), 0);
      return full(5, 1);
    },
  };
  await serveReplicas([replica], async client => {
    const view = await new Promise<View>(resolve =>
      client.watch('all', next => {
        if (next.revision === 9) resolve(next);
      }),
    );
    t.deepEqual(asked, [0, 5]);
    t.true(view.targets.has('t1'));
  });
});

test('the view never reverts to that of a replica that lags behind', async t => {
  const revisions: number[] = [];
  let first: Peer | undefined;
  const ahead: Handlers = {
    'control.watch': ({since}, peer) => {
      if (first !== undefined) return join('t1', since, 30);
      first = peer;
      return full(20, 2);
    },
  };
  const behind: Handlers = {'control.watch': () => full(10, 1)};
  await serveReplicas([ahead, behind], async client => {
    await new Promise<void>(resolve =>
      client.watch('all', view => {
        revisions.push(view.revision);
        if (view.revision === 20) first?.close('gone');
        if (view.revision === 30) resolve();
      }),
    );
    t.deepEqual(revisions, [20, 30]);
    t.is(client.view.configuration.version, 2);
  });
});

/** Listens on loopback and passes what an address sends on at a limited rate. */
async function openSlowLink(address: string, bytesPerSecond: number) {
  const sockets = new Set<Socket>();
  const intervalMs = 20;
  const pieceBytes = (bytesPerSecond * intervalMs) / 1000;
  const [host, port] = address.split(':');
  const server = createServer(near => {
    const far = connect(Number(port), host);
    let pending = Buffer.alloc(0);
    const timer = setInterval(() => {
      near.write(pending.subarray(0, pieceBytes));
      pending = pending.subarray(pieceBytes);
    }, intervalMs);
    far.on('data', chunk => (pending = Buffer.concat([pending, chunk])));
    near.pipe(far);
    for (const socket of [near, far]) {
      sockets.add(socket);
      socket.on('error', () => {});
      socket.on('close', () => {
        clearInterval(timer);
        near.destroy();
        far.destroy();
      });
    }
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port: ownPort} = server.address() as {port: number};
  return {
    address: `127.0.0.1:${ownPort}`,
    async [Symbol.asyncDispose]() {
      for (const socket of sockets) socket.destroy();
      await new Promise(resolve => server.close(resolve));
    },
  };
}

test('a view that takes longer than an attempt to arrive is followed, and requests beside it keep the connection', async t => {
  const large = full(1, 7);
  if (large.kind !== 'full') throw new Error('expected a full view');
  const {configuration} = large.view;
  const source = {base: 'x'.repeat(300_000), overlays: {}};
  const view = {...large.view, configuration: {...configuration, source}};
  const attached = new Set<Peer>();
  const control = await listen({
    ...leader,
    'control.watch': (_, peer) => {
      attached.add(peer);
      return {...large, view};
    },
  });
  await using link = await openSlowLink(control.address, 100_000);
  const client = new ControlClient({controls: [link.address]});
  const followed = new Promise<View>(resolve => client.watch('all', resolve));
  const asking = setInterval(
    () =>
      void client.request('control.lookup', lookup, monotonicClock.now() + 400),
    500,
  );
  t.is((await followed).configuration.version, 7);
  clearInterval(asking);
  t.is(attached.size, 1);
  await client[Symbol.asyncDispose]();
  await control[Symbol.asyncDispose]();
});
