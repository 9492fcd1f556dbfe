import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {Packr} from 'msgpackr';
import test from 'ava';
import {createMembers, type LogEntry} from '#consensus';
import {
  applyCommand,
  type Command,
  createState,
  encodeSnapshot,
} from '#membership';
import {dialPeer, type Peer} from '#protocol';
import {Control, createReplicaStarter} from '#control';
import {Store} from '#storage';
import {
  createDeadline,
  createSettings,
  runtime,
  source,
} from './test-control.js';

const packr = new Packr({useRecords: false});
const id = 'c1';
const leader = 'c2';
const nowhere = '127.0.0.1:9';
const members = createMembers(
  [id, leader, 'c3'].map(member => ({id: member, address: nowhere})),
);

const createChange = (version: number): Command => ({
  kind: 'configure',
  time: version,
  change: {
    changeId: `change-${version}`,
    expectedVersion: version - 1,
    author: 'operator',
    source,
  },
});

/** Entries of term 1: version n of the configuration is at index n + 2. */
const createEntry = (version: number): LogEntry => ({
  kind: 'command',
  index: version + 2,
  term: 1,
  command: packr.pack(createChange(version)),
});

/** Writes the folder of a replica that was killed with a snapshot of version 1, in term 1. */
async function writeOldSnapshot(folder: string): Promise<void> {
  const opened = await Store.open(folder, {id, bootstrap: members});
  await using store = opened.unsafeCoerce();
  const state = createState();
  applyCommand(state, createChange(1), 3);
  const blank = {kind: 'blank', index: 2, term: 1} as const;
  const entries = [blank, createEntry(1)];
  await store.append({hardState: {term: 1}, entries});
  const data = encodeSnapshot(state);
  await store.saveSnapshot({index: 3, term: 1, members, data}, 'continue');
}

/** A control process that restarted from an old snapshot, and the messages of its leader, sent by hand. */
class RestartedControl implements AsyncDisposable {
  private constructor(
    private readonly folder: string,
    private readonly control: Control,
    private readonly peer: Peer,
  ) {}

  static async start(): Promise<RestartedControl> {
    const folder = await mkdtemp(join(tmpdir(), 'control-restart-'));
    await writeOldSnapshot(folder);
    const settings = createSettings(id, {data: folder});
    const opened = await Control.open({
      settings,
      configuration: source,
      runtime,
      startReplica: createReplicaStarter(settings, runtime.clock),
    });
    const control = opened.unsafeCoerce();
    const dialled = await dialPeer(control.address, {}, createDeadline());
    return new RestartedControl(folder, control, dialled.unsafeCoerce());
  }

  /** Delivers a message of the leader, which has committed version 4 at index 6. */
  lead(previousIndex: number, entries: readonly LogEntry[], term = 1): void {
    const message = {
      kind: 'append',
      term,
      round: 1,
      previousIndex,
      previousTerm: 1,
      commitIndex: 6,
      entries,
    } as const;
    this.peer.notify('control.replicate', {from: leader, message});
  }

  /** Asks as a process that has just started does; undefined when the replica refuses. */
  async watch(): Promise<number | undefined> {
    const reply = await this.peer.request(
      'control.watch',
      {since: 0, topics: 'all'},
      createDeadline(),
    );
    const update = reply.toMaybe().extract();
    if (update?.kind !== 'full') return undefined;
    return update.view.configuration.version;
  }

  /** Asks for the configuration as an operator does; undefined when the replica refers to the leader. */
  async read(): Promise<number | undefined> {
    const reply = await this.peer.request(
      'control.readConfig',
      {},
      createDeadline(),
    );
    const answer = reply.unsafeCoerce();
    return answer.kind === 'done' ? answer.value.version : undefined;
  }

  async readStatus() {
    const reply = await this.peer.request(
      'control.status',
      {},
      createDeadline(),
    );
    const {configVersion, catchingUp} = reply.unsafeCoerce();
    return {configVersion, catchingUp};
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.peer.close('closed by this end');
    await this.control[Symbol.asyncDispose]();
    await rm(this.folder, {recursive: true});
  }
}

/** Asserts that the replica gives version 1 to nobody and says that it is catching up. */
async function assertCatchingUp(
  t: {is(actual: unknown, expected: unknown, message: string): unknown},
  control: RestartedControl,
  when: string,
): Promise<void> {
  t.is(await control.watch(), undefined, `watch, ${when}`);
  t.is(await control.read(), undefined, `read, ${when}`);
  const {catchingUp} = await control.readStatus();
  t.is(catchingUp, true, `status, ${when}`);
}

test('a control replica that restarts from an old snapshot gives its version to nobody while the leader is silent, slow or being elected', async t => {
  await using control = await RestartedControl.start();
  await assertCatchingUp(t, control, 'before a leader is known');
  control.lead(6, []);
  await assertCatchingUp(t, control, 'after a heartbeat of the leader');
  control.lead(3, [createEntry(2)]);
  await assertCatchingUp(t, control, 'with some of the entries');
  control.lead(4, [createEntry(3), createEntry(4)], 2);
  await assertCatchingUp(t, control, 'while a leader is elected');
});

test('a control replica that has caught up gives the newest version until its leader falls silent', async t => {
  await using control = await RestartedControl.start();
  let version: number | undefined;
  while (version === undefined) {
    control.lead(3, [2, 3, 4].map(createEntry));
    version = await control.watch();
  }
  t.is(version, 4);
  while (!(await control.readStatus()).catchingUp) await nextTurn();
  t.is(await control.watch(), undefined);
});
