import assert from 'node:assert/strict';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {
  checkMessage,
  createFirstEntry,
  createMembers,
  type Effect,
  type Input,
  type LogEntry,
  type Message,
  Replica,
  type ReplicaBounds,
  type ReplicaTiming,
  type RecoveredState,
  type Snapshot,
} from '#consensus';
import {Agenda} from './agenda.js';
import {createNode, type Node, readClock} from './node.js';
import {Oracle, readCommand} from './oracle.js';
import type {Faults} from './profiles.js';
import {chooseChange, type Replacement} from './replacement.js';

const timing: ReplicaTiming = {
  heartbeatIntervalMs: 20,
  electionTimeoutMs: 100,
  clockMarginMs: 10,
};
/** Two clocks differ by less than the margin over one election timeout. */
const maxDriftPercent = 4;
const bounds: Omit<ReplicaBounds, 'maxBatchBytes'> = {
  maxInFlightBytes: 400,
  maxInFlightBatches: 3,
  snapshotChunkBytes: 24,
  trailingEntries: 10,
};
const faultyMs = 2500;
const maxRecoveryMs = 6000;
const snapshotBytes = 64;

/** Drives replicas in memory through faults drawn from a seed. */
export class Simulation {
  private readonly random;
  private readonly agenda = new Agenda();
  private readonly oracle: Oracle;
  private readonly nodes = new Map<string, Node>();
  private readonly cuts = new Set<string>();
  private readonly reads = new Map<number, number>();
  private readonly tickets = new Map<number, string>();
  private lastTicket = 0;
  private lastCommand = 0;
  private lastNode = 0;
  private replacement: Replacement | undefined;
  private faulty = true;

  constructor(
    seed: number,
    private readonly faults: Faults,
  ) {
    this.random = xoroshiro128plus(seed);
    this.oracle = new Oracle(faults.checkSteps);
    const ids = Array.from({length: faults.replicas}, () => this.nameNode());
    const members = createMembers(ids.map(id => ({id, address: id})));
    for (const id of ids) this.addNode(id, [createFirstEntry(members)]);
  }

  /** Runs the faults, then checks that all recover without them. */
  run(): void {
    this.agenda.add(50, () => this.injectFaults());
    this.agenda.add(0, () => this.submit());
    this.agenda.add(0, () => this.trackFloor());
    this.agenda.runUntil(faultyMs);
    this.faulty = false;
    this.cuts.clear();
    for (const node of this.nodes.values()) this.restart(node);
    this.awaitRecovery();
    this.oracle.checkAcknowledged();
  }

  private awaitRecovery(): void {
    const end = faultyMs + maxRecoveryMs;
    const before = this.oracle.committedIndex;
    while (this.agenda.now < end) {
      this.agenda.runUntil(this.agenda.now + 20);
      if (!this.replacement && this.agree(before)) return;
    }
    const states = [...this.nodes.values()].map(node =>
      JSON.stringify(node.replica?.describeStatus()),
    );
    assert.fail(`no progress once faults are over:\n${states.join('\n')}`);
  }

  /** Whether all members have applied all that is committed, new writes among it. */
  private agree(before: number): boolean {
    const leader = this.findLeader();
    if (!leader || this.oracle.committedIndex < before + 3) return false;
    const members = leader.replica!.describeStatus().members;
    return members.every(
      member => (this.nodes.get(member.id)?.applied ?? 0) > before,
    );
  }

  private draw(from: number, to: number): number {
    return uniformInt(this.random, from, to);
  }

  private decide(percent: number): boolean {
    return this.faulty && this.draw(1, 100) <= percent;
  }

  private nameNode(): string {
    return `r${++this.lastNode}`;
  }

  private addNode(id: string, entries: readonly LogEntry[]): void {
    const drift = this.draw(-maxDriftPercent, maxDriftPercent);
    const node = createNode(id, entries, {
      rate: 1 + drift / 100,
      offset: this.draw(0, 100_000),
    });
    this.nodes.set(id, node);
    this.restart(node);
  }

  private restart(node: Node): void {
    if (node.replica || node.diskLost) return;
    const recovered: RecoveredState = node.disk.recover();
    node.life++;
    node.writes = new Map();
    node.wakeAt = Infinity;
    node.applied = 0;
    node.digest = 0;
    if (recovered.snapshot) this.restore(node, recovered.snapshot);
    node.replica = new Replica(
      {
        id: node.id,
        timing,
        bounds: {...bounds, maxBatchBytes: this.faults.maxBatchBytes},
        random: this.random,
      },
      recovered,
      readClock(node, this.agenda.now),
    );
    this.arm(node);
  }

  private kill(node: Node): void {
    if (!node.replica) return;
    node.replica = undefined;
    node.life++;
    node.disk.loseWrites(this.draw(0, node.disk.pendingWrites));
  }

  private step(node: Node, input: Input): void {
    if (!node.replica) return;
    const effects = node.replica.step(input, readClock(node, this.agenda.now));
    for (const effect of effects) this.execute(node, effect);
    this.arm(node);
  }

  /** Keeps one tick ahead at the instant that the replica asks for. */
  private arm(node: Node): void {
    const {wakeAt} = node.replica!;
    const delay = Math.max(
      0,
      (wakeAt - readClock(node, this.agenda.now)) / node.clock.rate,
    );
    const at = this.agenda.now + delay + 0.01;
    if (node.wakeAt <= at && node.wakeAt > this.agenda.now) return;
    node.wakeAt = at;
    this.schedule(node, delay + 0.01, () => {
      if (node.wakeAt !== at) return;
      node.wakeAt = Infinity;
      this.step(node, {kind: 'tick'});
    });
  }

  /** Does something later unless the node has crashed by then. */
  private schedule(node: Node, delayMs: number, run: () => void): void {
    const {life} = node;
    this.agenda.add(delayMs, () => {
      if (node.life === life) run();
    });
  }

  private execute(node: Node, effect: Effect): void {
    switch (effect.kind) {
      case 'persist':
        node.disk.write(effect);
        this.schedule(node, this.draw(1, 12), () => {
          node.disk.sync(effect.sequence);
          this.step(node, {kind: 'synced', sequence: effect.sequence});
        });
        return;
      case 'send':
        this.send(node, effect.to, effect.message);
        return;
      case 'apply':
        this.oracle.checkCommit(
          node.replica!.describeStatus(),
          effect.entries.at(-1)!,
        );
        for (const entry of effect.entries) this.apply(node, entry);
        this.snapshotIfDue(node);
        return;
      case 'restore':
        this.restore(node, effect.snapshot);
        return;
      case 'proposed':
        this.trackProposal(node, effect.ticket, effect.index, effect.term);
        return;
      case 'readable':
        this.answerRead(node, effect.ticket);
        return;
      case 'role':
        if (effect.role === 'leader') {
          this.oracle.checkLeader(effect.term, node.id);
        } else {
          node.writes.clear();
        }
        return;
      case 'refused':
      case 'members':
        return;
    }
  }

  private send(from: Node, to: string, message: Message): void {
    this.oracle.checkSent(from.id, from.disk, to, message);
    if (this.cuts.has(`${from.id} ${to}`)) return;
    if (this.decide(this.faults.loss)) return;
    const copies = this.decide(this.faults.duplication) ? 2 : 1;
    for (let i = 0; i < copies; i++) {
      const delay = this.decide(3) ? this.draw(10, 150) : this.draw(1, 6);
      this.agenda.add(delay, () => {
        const node = this.nodes.get(to);
        if (!node?.replica) return;
        const checked = checkMessage(message).unsafeCoerce();
        this.step(node, {kind: 'message', from: from.id, message: checked});
      });
    }
  }

  private apply(node: Node, entry: LogEntry): void {
    assert.equal(entry.index, node.applied + 1, `${node.id} skipped entries`);
    const isNew = entry.index > this.oracle.committedIndex;
    node.digest = this.oracle.checkApplied(entry, node.digest);
    node.applied = entry.index;
    if (isNew) {
      const {members} = node.replica!.describeStatus();
      this.oracle.checkDurable(entry, members, id => this.nodes.get(id)?.disk);
    }
    const write = node.writes.get(entry.index);
    node.writes.delete(entry.index);
    if (write?.term !== entry.term) return;
    assert.equal(readCommand(entry), write.command);
    this.oracle.acknowledged.push({index: entry.index, command: write.command});
    this.oracle.seenIndex = Math.max(this.oracle.seenIndex, entry.index);
  }

  private snapshotIfDue(node: Node): void {
    if (node.applied - node.snapshotIndex < this.draw(15, 60)) return;
    const {replica, digest, applied} = node;
    const data = Buffer.alloc(snapshotBytes, `${digest} ${applied} `);
    const snapshot: Snapshot = {
      ...replica!.describeSnapshotPlace(applied),
      data,
    };
    node.snapshotIndex = applied;
    this.schedule(node, this.draw(1, 30), () => {
      node.disk.saveSnapshot(snapshot);
      this.step(node, {kind: 'snapshot-saved', snapshot});
    });
  }

  private restore(node: Node, {index, data}: Snapshot): void {
    const [digest] = Buffer.from(data).toString('latin1').split(' ');
    assert.equal(Number(digest), this.oracle.getDigest(index));
    node.applied = index;
    node.digest = Number(digest);
    node.snapshotIndex = index;
  }

  /** Submits writes and reads at whichever replicas, leaders or not. */
  private submit(): void {
    this.agenda.add(this.draw(2, 25), () => this.submit());
    const nodes = [...this.nodes.values()];
    const any = nodes[this.draw(0, nodes.length - 1)];
    if (this.draw(0, 1) === 0) {
      for (const node of nodes) this.read(node);
      return;
    }
    const node = this.draw(0, 3) > 0 ? (this.findLeader() ?? any) : any;
    const ticket = ++this.lastTicket;
    const commands = Array.from({length: this.draw(1, 5)}, () =>
      Buffer.from(`c${++this.lastCommand}`),
    );
    this.tickets.set(ticket, commands.map(String).join(' '));
    this.step(node, {kind: 'propose', ticket, commands});
  }

  /** Reads at a replica that believes that it leads. */
  private read(node: Node): void {
    if (node.replica?.describeStatus().role !== 'leader') return;
    const ticket = ++this.lastTicket;
    this.reads.set(ticket, this.oracle.seenIndex);
    this.step(node, {kind: 'read', ticket});
  }

  private trackProposal(
    node: Node,
    ticket: number,
    index: number,
    term: number,
  ): void {
    const commands = this.tickets.get(ticket)?.split(' ') ?? [];
    commands.forEach((command, i) =>
      node.writes.set(index + i, {term, command}),
    );
  }

  /** No read is older than a write or read that ended before it began. */
  private answerRead(node: Node, ticket: number): void {
    const floor = this.reads.get(ticket)!;
    assert.ok(
      node.applied >= floor,
      `a read at ${node.id} saw ${node.applied} after ${floor} was seen`,
    );
    this.oracle.seenIndex = Math.max(this.oracle.seenIndex, node.applied);
  }

  private findLeader(): Node | undefined {
    let found: Node | undefined;
    let foundTerm = -1;
    for (const node of this.nodes.values()) {
      const status = node.replica?.describeStatus();
      if (status?.role !== 'leader' || status.term <= foundTerm) continue;
      found = node;
      foundTerm = status.term;
    }
    return found;
  }

  private transfer(): void {
    const leader = this.findLeader();
    if (leader) this.step(leader, {kind: 'transfer'});
  }

  private injectFaults(): void {
    const {maxCalmMs, maxOutageMs} = this.faults;
    const calmMs = this.draw(Math.ceil(maxCalmMs / 4), maxCalmMs);
    this.agenda.add(calmMs, () => this.injectFaults());
    this.stepReplacement();
    if (this.decide(this.faults.transfer)) this.transfer();
    if (!this.faulty) return;
    const nodes = [...this.nodes.values()];
    const node = nodes[this.draw(0, nodes.length - 1)];
    if (this.decide(this.faults.crash)) {
      this.kill(node);
      this.schedule(node, this.draw(5, maxOutageMs), () => this.restart(node));
    }
    if (this.decide(this.faults.partition)) this.cut(nodes, node);
    if (this.decide(this.faults.replace)) this.beginReplacement();
  }

  /** Cuts one replica, or the connection to another one, in one or both directions. */
  private cut(nodes: readonly Node[], node: Node): void {
    const single = this.draw(0, 1) === 0;
    const other = nodes[this.draw(0, nodes.length - 1)];
    const others = single ? [other] : nodes;
    const directions = this.draw(1, 3);
    const pairs = others.flatMap(one => [
      ...(directions & 1 ? [`${node.id} ${one.id}`] : []),
      ...(directions & 2 ? [`${one.id} ${node.id}`] : []),
    ]);
    for (const pair of pairs) this.cuts.add(pair);
    this.agenda.add(this.draw(20, this.faults.maxOutageMs), () => {
      for (const pair of pairs) this.cuts.delete(pair);
    });
  }

  private beginReplacement(): void {
    if (this.replacement) return;
    const members = this.findLeader()?.replica?.describeStatus().members ?? [];
    const voters = members.filter(member => member.voter);
    if (voters.length !== this.faults.replicas) return;
    const leaving = voters[this.draw(0, voters.length - 1)].id;
    const node = this.nodes.get(leaving)!;
    if (this.draw(0, 1) === 0) {
      this.kill(node);
      node.diskLost = true;
    }
    const joining = this.nameNode();
    this.addNode(joining, []);
    this.replacement = {leaving, joining, promoteFirst: this.draw(0, 1) === 0};
  }

  /** Takes an operator's next step towards a replacement, if the leader takes it. */
  private stepReplacement(): void {
    const leader = this.findLeader();
    if (!this.replacement || !leader) return;
    const {members} = leader.replica!.describeStatus();
    const change = chooseChange(this.replacement, members);
    if (!change) {
      this.finishReplacement(this.replacement, leader);
      return;
    }
    const ticket = ++this.lastTicket;
    const before = leader.replica!.describeStatus().lastIndex;
    this.step(leader, {kind: 'change-members', ticket, change});
    const status = leader.replica?.describeStatus();
    const begun = status && status.lastIndex > before;
    if (begun && change.kind === 'promote') {
      const {lastIndex} = this.nodes.get(change.member)!.disk;
      this.oracle.checkPromotion(change.member, lastIndex);
    }
  }

  private finishReplacement({leaving}: Replacement, leader: Node): void {
    const {members, commitIndex, lastIndex} = leader.replica!.describeStatus();
    const settled = commitIndex === lastIndex;
    if (!settled || members.some(member => member.id === leaving)) return;
    this.replacement = undefined;
    if (this.nodes.get(leaving)?.diskLost) this.nodes.delete(leaving);
  }

  private trackFloor(): void {
    this.oracle.trackFloor();
    this.agenda.add(timing.heartbeatIntervalMs, () => this.trackFloor());
  }
}
