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
  type MemberChange,
  type Message,
  Replica,
  type ReplicaBounds,
  type ReplicaTiming,
  type RecoveredState,
  type Snapshot,
} from '#consensus';
import {EventQueue} from './event-queue.js';
import {createNode, type Node, readClock} from './node.js';
import {InvariantChecker, readCommand} from './invariant-checker.js';
import type {FaultProfile} from './profiles.js';
import {Replacer} from './replacer.js';

const timing: ReplicaTiming = {
  heartbeatIntervalMs: 20,
  electionTimeoutMs: 100,
  clockMarginMs: 10,
};
/** Keeps the drift between two clocks below `clockMarginMs` over one election timeout. */
const maxDriftPercent = 4;
const bounds: Omit<ReplicaBounds, 'maxBatchBytes'> = {
  maxInFlightBytes: 400,
  maxInFlightBatches: 3,
  snapshotChunkBytes: 24,
  trailingEntries: 10,
  trailingBytes: Infinity,
};
const faultPhaseMs = 2500;
const maxRecoveryMs = 6000;
const snapshotBytes = 64;

/** Simulates a group of replicas in memory, with faults drawn from a seed. */
export class Simulation {
  private readonly random;
  private readonly events = new EventQueue();
  private readonly checker: InvariantChecker;
  private readonly nodes = new Map<string, Node>();
  private readonly blockedLinks = new Set<string>();
  private readonly minReadIndexes = new Map<number, number>();
  private readonly commandsByTicket = new Map<number, string>();
  private lastTicket = 0;
  private lastCommand = 0;
  private lastNode = 0;
  private readonly replacer: Replacer;
  private isFaulty = true;

  constructor(
    seed: number,
    private readonly faults: FaultProfile,
  ) {
    this.random = xoroshiro128plus(seed);
    this.checker = new InvariantChecker(faults.checkSteps);
    this.replacer = new Replacer({
      faults,
      nodes: this.nodes,
      draw: (from, to) => this.draw(from, to),
      findLeader: () => this.findLeader(),
      addEmptyNode: () => {
        const id = this.createId();
        this.addNode(id, []);
        return id;
      },
      kill: node => this.kill(node),
      restartAfter: (node, delayMs) =>
        this.schedule(node, delayMs, () => this.restart(node)),
      readClock: node => readClock(node, this.events.now),
      requestChange: (leader, change) => this.requestChange(leader, change),
    });
    const ids = Array.from({length: faults.replicas}, () => this.createId());
    const members = createMembers(ids.map(id => ({id, address: id})));
    for (const id of ids) this.addNode(id, [createFirstEntry(members)]);
  }

  /** Injects faults, then stops them and checks that the group recovers. */
  run(): void {
    this.events.add(50, () => this.injectFaults());
    this.events.add(0, () => this.submit());
    this.events.add(0, () => this.recordCommitIndex());
    this.events.runUntil(faultPhaseMs);
    this.isFaulty = false;
    this.blockedLinks.clear();
    for (const node of this.nodes.values()) this.restart(node);
    this.awaitRecovery();
    this.checker.checkAcknowledged();
  }

  private awaitRecovery(): void {
    const end = faultPhaseMs + maxRecoveryMs;
    const before = this.checker.committedIndex;
    while (this.events.now < end) {
      this.events.runUntil(this.events.now + 20);
      if (!this.replacer.isReplacing && this.hasRecovered(before)) return;
    }
    const states = [...this.nodes.values()].map(node =>
      JSON.stringify(node.replica?.describeStatus()),
    );
    assert.fail(`no recovery after faults stopped:\n${states.join('\n')}`);
  }

  /** Whether new writes are committed and every member has applied entries after `minIndex`. */
  private hasRecovered(minIndex: number): boolean {
    const leader = this.findLeader();
    if (!leader || this.checker.committedIndex < minIndex + 3) return false;
    const members = leader.replica!.describeStatus().members;
    const voters = members.filter(({voter}) => voter).length;
    if (voters !== this.faults.replicas) return false;
    return members.every(
      member => (this.nodes.get(member.id)?.applied ?? 0) > minIndex,
    );
  }

  private draw(from: number, to: number): number {
    return uniformInt(this.random, from, to);
  }

  /** Draws whether a fault occurs, by its probability; always false once faults have stopped. */
  private shouldInject(percent: number): boolean {
    return this.isFaulty && this.draw(1, 100) <= percent;
  }

  private createId(): string {
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
    node.incarnation++;
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
      readClock(node, this.events.now),
    );
    this.scheduleTick(node);
  }

  private kill(node: Node): void {
    if (!node.replica) return;
    node.replica = undefined;
    node.incarnation++;
    node.disk.loseWrites(this.draw(0, node.disk.pendingWrites));
  }

  private step(node: Node, input: Input): void {
    if (!node.replica) return;
    const effects = node.replica.step(input, readClock(node, this.events.now));
    for (const effect of effects) this.execute(node, effect);
    this.scheduleTick(node);
  }

  /** Schedules the next tick at the instant that the replica requests. */
  private scheduleTick(node: Node): void {
    const {wakeAt} = node.replica!;
    const delayMs = Math.max(
      0,
      (wakeAt - readClock(node, this.events.now)) / node.clock.rate,
    );
    const at = this.events.now + delayMs + 0.01;
    if (node.wakeAt <= at && node.wakeAt > this.events.now) return;
    node.wakeAt = at;
    this.schedule(node, delayMs + 0.01, () => {
      if (node.wakeAt !== at) return;
      node.wakeAt = Infinity;
      this.step(node, {kind: 'tick'});
    });
  }

  /** Schedules an action that is dropped if the node crashes or restarts before. */
  private schedule(node: Node, delayMs: number, run: () => void): void {
    const {incarnation} = node;
    this.events.add(delayMs, () => {
      if (node.incarnation === incarnation) run();
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
        this.checker.checkCommit(
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
        this.checkRead(node, effect.ticket);
        return;
      case 'role':
        if (effect.role === 'leader') {
          this.checker.checkLeader(effect.term, node.id);
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
    this.checker.checkSent(from.id, from.disk, to, message);
    if (this.blockedLinks.has(`${from.id} ${to}`)) return;
    if (this.shouldInject(this.faults.loss)) return;
    const copies = this.shouldInject(this.faults.duplication) ? 2 : 1;
    for (let i = 0; i < copies; i++) {
      const delayMs = this.shouldInject(3)
        ? this.draw(10, 150)
        : this.draw(1, 6);
      this.events.add(delayMs, () => {
        const node = this.nodes.get(to);
        if (!node?.replica) return;
        const checked = checkMessage(message).unsafeCoerce();
        this.step(node, {kind: 'message', from: from.id, message: checked});
      });
    }
  }

  private apply(node: Node, entry: LogEntry): void {
    assert.equal(entry.index, node.applied + 1, `${node.id} skipped entries`);
    const isNew = entry.index > this.checker.committedIndex;
    node.digest = this.checker.checkApplied(entry, node.digest);
    node.applied = entry.index;
    if (isNew) {
      const {members} = node.replica!.describeStatus();
      this.checker.checkDurable(entry, members, id => this.nodes.get(id)?.disk);
    }
    const write = node.writes.get(entry.index);
    node.writes.delete(entry.index);
    if (write?.term !== entry.term) return;
    assert.equal(readCommand(entry), write.command);
    this.checker.acknowledged.push({
      index: entry.index,
      command: write.command,
    });
    this.checker.seenIndex = Math.max(this.checker.seenIndex, entry.index);
  }

  private snapshotIfDue(node: Node): void {
    if (node.applied - node.snapshotIndex < this.draw(15, 60)) return;
    const {replica, digest, applied} = node;
    const data = Buffer.alloc(snapshotBytes, `${digest} ${applied} `);
    const snapshot: Snapshot = {
      ...replica!.describeSnapshotMetadata(applied),
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
    assert.equal(Number(digest), this.checker.getDigest(index));
    node.applied = index;
    node.digest = Number(digest);
    node.snapshotIndex = index;
  }

  /** Submits a write, to the leader or a random replica, or reads at all leaders. */
  private submit(): void {
    this.events.add(this.draw(2, 25), () => this.submit());
    const nodes = [...this.nodes.values()];
    const randomNode = nodes[this.draw(0, nodes.length - 1)];
    if (this.draw(0, 1) === 0) {
      for (const node of nodes) this.read(node);
      return;
    }
    const node =
      this.draw(0, 3) > 0 ? (this.findLeader() ?? randomNode) : randomNode;
    const ticket = ++this.lastTicket;
    const commands = Array.from({length: this.draw(1, 5)}, () =>
      Buffer.from(`c${++this.lastCommand}`),
    );
    this.commandsByTicket.set(ticket, commands.map(String).join(' '));
    this.step(node, {kind: 'propose', ticket, commands});
  }

  /** Starts a read if the replica considers itself leader. */
  private read(node: Node): void {
    if (node.replica?.describeStatus().role !== 'leader') return;
    const ticket = ++this.lastTicket;
    this.minReadIndexes.set(ticket, this.checker.seenIndex);
    this.step(node, {kind: 'read', ticket});
  }

  private trackProposal(
    node: Node,
    ticket: number,
    index: number,
    term: number,
  ): void {
    const commands = this.commandsByTicket.get(ticket)?.split(' ') ?? [];
    commands.forEach((command, i) =>
      node.writes.set(index + i, {term, command}),
    );
  }

  /** Checks that a read reflects every write and read that ended before it began. */
  private checkRead(node: Node, ticket: number): void {
    const minIndex = this.minReadIndexes.get(ticket)!;
    assert.ok(
      node.applied >= minIndex,
      `a read at ${node.id} saw index ${node.applied} after ${minIndex} was observed`,
    );
    this.checker.seenIndex = Math.max(this.checker.seenIndex, node.applied);
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
    const {maxFaultIntervalMs, maxOutageMs} = this.faults;
    const intervalMs = this.draw(
      Math.ceil(maxFaultIntervalMs / 4),
      maxFaultIntervalMs,
    );
    this.events.add(intervalMs, () => this.injectFaults());
    this.replacer.step();
    if (this.shouldInject(this.faults.transfer)) this.transfer();
    if (!this.isFaulty) return;
    const nodes = [...this.nodes.values()];
    const node = nodes[this.draw(0, nodes.length - 1)];
    if (this.shouldInject(this.faults.crash)) {
      this.kill(node);
      this.schedule(node, this.draw(5, maxOutageMs), () => this.restart(node));
    }
    if (this.shouldInject(this.faults.partition)) this.cutLinks(nodes, node);
    if (this.shouldInject(this.faults.replace)) this.replacer.begin();
  }

  /** Blocks the links of a node, or one of them, in one or both directions. */
  private cutLinks(nodes: readonly Node[], node: Node): void {
    const isSingleLink = this.draw(0, 1) === 0;
    const other = nodes[this.draw(0, nodes.length - 1)];
    const peers = isSingleLink ? [other] : nodes;
    const directions = this.draw(1, 3);
    const pairs = peers.flatMap(peer => [
      ...(directions & 1 ? [`${node.id} ${peer.id}`] : []),
      ...(directions & 2 ? [`${peer.id} ${node.id}`] : []),
    ]);
    for (const pair of pairs) this.blockedLinks.add(pair);
    this.events.add(this.draw(20, this.faults.maxOutageMs), () => {
      for (const pair of pairs) this.blockedLinks.delete(pair);
    });
  }

  /** Requests a membership change, which the leader may refuse. */
  private requestChange(leader: Node, change: MemberChange): void {
    if (this.faults.repair && change.kind === 'remove') {
      const {members} = leader.replica!.describeStatus();
      this.checker.checkRemoval(
        change.member,
        members,
        id => this.nodes.get(id)?.disk,
      );
    }
    const ticket = ++this.lastTicket;
    const before = leader.replica!.describeStatus().lastIndex;
    this.step(leader, {kind: 'change-members', ticket, change});
    const status = leader.replica?.describeStatus();
    const begun = status && status.lastIndex > before;
    if (begun && change.kind === 'promote') {
      const {lastIndex} = this.nodes.get(change.member)!.disk;
      this.checker.checkPromotion(change.member, lastIndex);
    }
  }

  private recordCommitIndex(): void {
    this.checker.recordCommitIndex();
    this.events.add(timing.heartbeatIntervalMs, () => this.recordCommitIndex());
  }
}
