import {Packr} from 'msgpackr';
import {mersenne} from 'pure-rand/generator/mersenne';
import {Either} from 'purify-ts';
import {
  type Address,
  computeRemainingMs,
  type ControlId,
  type Instant,
} from '#model';
import {
  type CommandEntry,
  defaultBounds,
  defaultTiming,
  type Effect,
  type Input,
  type LogEntry,
  type MemberChange,
  type Members,
  type Message,
  type Persist,
  Replica,
  type ReplicaStatus,
  type Snapshot,
} from '#consensus';
import type {StoreError} from './error.js';
import {type Proposal, ProposalQueue} from './proposal-queue.js';
import {RequestTable} from './request-table.js';
import {Store} from './store.js';
import type {
  ChangeResult,
  NotLeader,
  ProposeResult,
  ReadResult,
  ReplicaHostOptions,
} from './host-options.js';

const packr = new Packr({useRecords: false});
const defaultSnapshotInterval = 10_000;
const defaultSnapshotIntervalBytes = 8 * 1024 * 1024;
/** Commands applied at once, so that they are not all decoded at the same time. */
const maxAppliedBytes = 4 * 1024 * 1024;
const maxTimerMs = 60_000;
/** A leader whose disk takes longer than this for a write hands over. */
const maxSyncMs = 1000;

/**
 * Runs one replica with a data folder, a clock and a transport. Proposals made
 * during a sync are appended to the log as one batch after it.
 */
export class ReplicaHost<Command, Result> implements AsyncDisposable {
  private readonly replica: Replica;
  private readonly requests = new RequestTable<Result>();
  private readonly proposals: ProposalQueue<Result>;
  private readonly pendingInputs: Input[] = [];
  private stepping = false;
  private closed = false;
  private timer: NodeJS.Timeout | undefined;
  private timerAt: Instant = Infinity;
  /** Each is called with true once another replica is known to lead, or with false at shutdown. */
  private readonly transferWaiters = new Set<(transferred: boolean) => void>();
  /** Start times of the writes that are not synced yet, oldest first. */
  private readonly syncs = new Map<number, Instant>();
  private addresses: ReadonlyMap<ControlId, Address> = new Map();
  private appliedIndex: number;
  private snapshotIndex: number;
  private snapshotBytes: number;
  /** Bytes of the commands applied after the last snapshot. */
  private appliedBytes = 0;
  private isSavingSnapshot = false;

  private constructor(
    private readonly options: ReplicaHostOptions<Command, Result>,
    private readonly store: Store,
  ) {
    const {id, seed, clock} = options;
    const {snapshot} = store.recovered;
    if (snapshot)
      options.machine.restoreSnapshot(snapshot.data, snapshot.index);
    this.appliedIndex = snapshot?.index ?? 0;
    this.snapshotIndex = this.appliedIndex;
    this.snapshotBytes = snapshot?.data.byteLength ?? 0;
    this.proposals = new ProposalQueue(batch => this.appendProposals(batch));
    this.replica = new Replica(
      {
        id,
        timing: options.timing ?? defaultTiming,
        bounds: options.bounds ?? defaultBounds,
        // The first values of this generator differ even for adjacent seeds, so that replicas don't start elections at the same time.
        random: mersenne(seed),
      },
      store.recovered,
      clock.now(),
    );
    store.forgetRecovered();
    this.updateAddresses(this.describeStatus().members);
    this.armTimer();
  }

  /** Opens the data folder and starts the replica from the recovered state. */
  static async start<Command, Result>(
    options: ReplicaHostOptions<Command, Result>,
  ): Promise<Either<StoreError, ReplicaHost<Command, Result>>> {
    const {folder, id, bootstrap, disk} = options;
    const store = await Store.open(folder, {
      id,
      ...(bootstrap && {bootstrap}),
      ...(disk && {disk}),
    });
    return store.map(opened => new ReplicaHost(options, opened));
  }

  /** Proposes a command. If leadership is lost before the commit, resolves shortly after the loss. */
  propose(command: Command): Promise<ProposeResult<Result>> {
    if (this.closed) return Promise.resolve({kind: 'not-leader'});
    return new Promise(settle =>
      this.proposals.add({command: packr.pack(command), settle}),
    );
  }

  /** Resolves with `confirmed` once a read of the state machine is linearizable; the caller reads right after. */
  confirmRead(): Promise<ReadResult> {
    if (this.closed) return Promise.resolve({kind: 'not-leader'});
    return new Promise(settle => {
      const ticket = this.requests.addRead(settle);
      this.step({kind: 'read', ticket});
    });
  }

  /** Handles a validated message from another replica. */
  receive(from: ControlId, message: Message): void {
    this.step({kind: 'message', from, message});
  }

  /** Changes one member. `promote` is refused with `not-caught-up` until the learner has caught up. */
  changeMembers(change: MemberChange): Promise<ChangeResult> {
    if (this.closed) return Promise.resolve({kind: 'not-leader'});
    return new Promise(settle => {
      const ticket = this.requests.addChange(settle);
      this.step({kind: 'change-members', ticket, change});
    });
  }

  /**
   * Transfers leadership to another voter. Resolves with true once another replica is known to
   * lead, with false at the deadline, or immediately with false when there is no other voter.
   * Resolves with true immediately on a replica that is not the leader.
   */
  transferLeadership(deadline: Instant): Promise<boolean> {
    const {role, members} = this.describeStatus();
    if (role !== 'leader') return Promise.resolve(true);
    const hasSuccessor = members.some(
      ({id, voter}) => voter && id !== this.options.id,
    );
    if (!hasSuccessor) return Promise.resolve(false);
    return new Promise(resolve => {
      const delayMs = computeRemainingMs(this.options.clock.now(), deadline);
      const timer = setTimeout(() => settle(false), delayMs);
      const settle = (transferred: boolean) => {
        clearTimeout(timer);
        this.transferWaiters.delete(settle);
        resolve(transferred);
      };
      this.transferWaiters.add(settle);
      this.step({kind: 'transfer'});
    });
  }

  describeStatus(): ReplicaStatus {
    return this.replica.describeStatus();
  }

  /** Stops the replica. Entries in flight resolve with `unknown`, all other requests with `not-leader`. */
  async [Symbol.asyncDispose](): Promise<void> {
    if (!this.closed) this.stop();
    await this.store[Symbol.asyncDispose]();
  }

  private stop(): void {
    this.closed = true;
    clearTimeout(this.timer);
    for (const {settle} of this.proposals.close()) settle({kind: 'not-leader'});
    this.requests.settleAll();
    for (const settle of this.transferWaiters) settle(false);
  }

  /** Steps the replica; an input that an effect causes is queued until the current step ends. */
  private step(input: Input): void {
    this.pendingInputs.push(input);
    if (this.stepping) return;
    this.stepping = true;
    try {
      while (this.pendingInputs.length > 0 && !this.closed) {
        const next = this.pendingInputs.shift()!;
        const effects = this.replica.step(next, this.options.clock.now());
        for (const effect of effects) this.execute(effect);
      }
    } finally {
      this.stepping = false;
    }
    this.armTimer();
  }

  private execute(effect: Effect): void {
    switch (effect.kind) {
      case 'persist':
        void this.writeToStore(effect);
        return;
      case 'send':
        this.options.send(
          effect.to,
          this.addresses.get(effect.to),
          effect.message,
        );
        return;
      case 'apply':
        this.apply(effect.entries);
        return;
      case 'restore':
        this.restoreSnapshot(effect.snapshot);
        return;
      case 'proposed':
        this.requests.trackProposed(effect);
        return;
      case 'refused':
        this.requests.refuse(effect, this.buildNotLeader());
        return;
      case 'readable':
        this.requests.confirmRead(effect);
        return;
      case 'role':
        if (effect.role !== 'leader') this.requests.settleInFlight();
        this.settleTransfers();
        this.options.observe?.(this.describeStatus());
        return;
      case 'members':
        this.updateAddresses(effect.members);
        return;
    }
  }

  private async writeToStore(effect: Persist): Promise<void> {
    this.proposals.beginSync();
    this.syncs.set(effect.sequence, this.options.clock.now());
    const {sequence, hardState, entries, snapshot} = effect;
    const outcomes: Promise<Either<StoreError, void>>[] = [];
    if (hardState || entries.length > 0) {
      const write = {entries, ...(hardState && {hardState})};
      outcomes.push(this.store.append(write));
    }
    if (snapshot) outcomes.push(this.store.saveSnapshot(snapshot, 'replace'));
    const outcome = Either.sequence(await Promise.all(outcomes));
    if (!this.handleStoreOutcome(outcome)) return;
    this.syncs.delete(sequence);
    this.step({kind: 'synced', sequence});
    this.proposals.endSync();
  }

  /** Stops the replica when a store operation has failed; returns whether it succeeded. */
  private handleStoreOutcome(outcome: Either<StoreError, unknown>): boolean {
    if (outcome.isRight()) return true;
    if (this.closed) return false;
    this.stop();
    this.options.fail?.(outcome.extract() as StoreError);
    return false;
  }

  private apply(entries: readonly LogEntry[]): void {
    const commands = entries.filter(entry => entry.kind === 'command');
    const results = commands.length > 0 ? this.applyCommands(commands) : [];
    let next = 0;
    for (const entry of entries) {
      const result = entry.kind === 'command' ? results[next++] : undefined;
      this.requests.commit(entry, result);
    }
    this.appliedIndex = entries.at(-1)!.index;
    this.snapshotIfDue();
  }

  private applyCommands(commands: readonly CommandEntry[]): readonly Result[] {
    const results: (readonly Result[])[] = [];
    for (let start = 0, end = 0; start < commands.length; start = end) {
      let bytes = 0;
      while (end < commands.length && bytes < maxAppliedBytes) {
        bytes += commands[end++].command.byteLength;
      }
      this.appliedBytes += bytes;
      const applied = commands.slice(start, end);
      results.push(
        this.options.machine.apply(
          applied.map(({index, term, command}) => ({
            index,
            term,
            command: packr.unpack(command) as Command,
          })),
        ),
      );
    }
    return results.flat() as Result[];
  }

  /**
   * Whether the log since the last snapshot is long, by entries or by bytes. The bytes are at least
   * those of the snapshot, so that a large state is not written more often than the log.
   */
  private get isSnapshotDue(): boolean {
    const {
      snapshotInterval = defaultSnapshotInterval,
      snapshotIntervalBytes = defaultSnapshotIntervalBytes,
    } = this.options;
    if (this.isSavingSnapshot) return false;
    if (this.appliedIndex - this.snapshotIndex >= snapshotInterval) return true;
    return (
      this.appliedBytes >= Math.max(snapshotIntervalBytes, this.snapshotBytes)
    );
  }

  private snapshotIfDue(): void {
    if (!this.isSnapshotDue) return;
    const data = this.options.machine.takeSnapshot();
    this.recordSnapshot(this.appliedIndex, data);
    const snapshot = {
      ...this.replica.describeSnapshotMetadata(this.appliedIndex),
      data,
    };
    void this.saveSnapshot(snapshot);
  }

  private async saveSnapshot(snapshot: Snapshot): Promise<void> {
    this.isSavingSnapshot = true;
    const outcome = await this.store.saveSnapshot(snapshot, 'continue');
    this.isSavingSnapshot = false;
    if (!this.handleStoreOutcome(outcome)) return;
    this.step({kind: 'snapshot-saved', snapshot});
  }

  private restoreSnapshot({data, index}: Snapshot): void {
    this.options.machine.restoreSnapshot(data, index);
    this.appliedIndex = index;
    this.recordSnapshot(index, data);
  }

  private recordSnapshot(index: number, data: Uint8Array): void {
    this.snapshotIndex = index;
    this.snapshotBytes = data.byteLength;
    this.appliedBytes = 0;
  }

  private appendProposals(batch: readonly Proposal<Result>[]): void {
    const ticket = this.requests.addProposals(batch);
    const commands = batch.map(proposal => proposal.command);
    this.step({kind: 'propose', ticket, commands});
  }

  /** Keeps one timer, due no later than the instant that the replica asks for. */
  private armTimer(): void {
    if (this.closed) return;
    const {wakeAt} = this.replica;
    if (this.timerAt <= wakeAt) return;
    clearTimeout(this.timer);
    const delayMs = computeRemainingMs(this.options.clock.now(), wakeAt);
    this.timerAt = wakeAt;
    this.timer = setTimeout(
      () => {
        this.timerAt = Infinity;
        this.step({kind: 'tick'});
        if (this.isStalled()) this.step({kind: 'transfer'});
      },
      Math.min(Math.ceil(delayMs), maxTimerMs),
    );
  }

  /** Whether this replica leads while its disk keeps its writes, and with them all proposals, waiting. */
  private isStalled(): boolean {
    const [oldest] = this.syncs.values();
    if (oldest === undefined || this.closed) return false;
    if (this.options.clock.now() - oldest <= maxSyncMs) return false;
    return this.describeStatus().role === 'leader';
  }

  private settleTransfers(): void {
    const {role, leader} = this.describeStatus();
    if (role === 'leader' || leader === undefined) return;
    for (const settle of this.transferWaiters) settle(true);
  }

  private updateAddresses(members: Members): void {
    this.addresses = new Map(members.map(({id, address}) => [id, address]));
    this.options.observe?.(this.describeStatus());
  }

  private buildNotLeader(): NotLeader {
    const {leader} = this.describeStatus();
    // A leader that is transferring leadership also refuses writes.
    if (leader === undefined || leader === this.options.id) {
      return {kind: 'not-leader'};
    }
    const address = this.addresses.get(leader);
    return {
      kind: 'not-leader',
      leader: {id: leader, ...(address !== undefined && {address})},
    };
  }
}
