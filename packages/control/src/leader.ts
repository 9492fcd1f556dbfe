import PQueue from 'p-queue';
import {
  type Address,
  assertInvariant,
  type Clock,
  type Epoch,
  type Instant,
} from '#model';
import type {
  Admission,
  AdmitResult,
  ControlReply,
  TeamHomes,
  NotLeader,
} from '#protocol';
import {
  bootstrapChangeId,
  type Command,
  type CommandResult,
  type ControlState,
} from '#membership';
import type {ConfigurationSource} from '#model';
import type {Logger, Metrics} from '#telemetry';
import type {ControlMachine} from './state-machine.js';
import type {TermState} from './term-state.js';
import type {Replica} from './replica.js';

/** A command without its log time, which the leader sets. */
export type Proposal = Command extends infer Variant
  ? Variant extends Command
    ? Omit<Variant, 'time'>
    : never
  : never;

/** Batches of admissions proposed but not yet committed; further admissions wait for the next one. */
const maxBatchesInFlight = 2;
const maxAdmissionsPerBatch = 2048;
/** Interval between the `forget` commands that delete expired records. */
const forgetIntervalMs = 2000;

interface WaitingAdmissions {
  readonly admissions: readonly Admission[];
  readonly resolve: (
    reply: ControlReply<readonly AdmitResult[]> | 'full',
  ) => void;
}

/**
 * Does a leader's work while this replica leads: proposes commands, confirms reads, and removes
 * expired leases and records. While it does not lead, requests are redirected.
 */
export class Leader {
  private readonly batches = new PQueue({concurrency: maxBatchesInFlight});
  private readonly inFlight = new Set<Promise<unknown>>();
  private waiting: WaitingAdmissions[] = [];
  private nextForgetAt = 0;
  private isBootstrapping = false;
  private isRecordingMembers = false;
  private leadershipTransfer: Promise<boolean> | undefined;
  private closed = false;

  constructor(
    private readonly replica: Replica,
    private readonly machine: ControlMachine,
    private readonly termState: TermState,
    /** The first configuration; unset when this group takes it from another one. */
    private readonly bootstrap:
      | {
          readonly author: string;
          readonly source: ConfigurationSource;
          readonly homes: TeamHomes;
        }
      | undefined,
    private readonly runtime: {
      readonly clock: Clock;
      readonly log: Logger;
      readonly metrics: Metrics;
    },
  ) {}

  /** True while this replica considers itself the leader; reading it initializes the state of a new term. */
  get isLeading(): boolean {
    if (this.closed) return false;
    const {role, term} = this.replica.describeStatus();
    if (role !== 'leader') return false;
    this.termState.enter(term);
    return true;
  }

  /** Commits a command and returns its result. */
  async propose(proposal: Proposal): Promise<ControlReply<CommandResult>> {
    if (!this.isLeading) return this.redirectToSuccessor();
    const time = this.termState.readLogTime();
    const proposed = this.replica.propose({...proposal, time} as Command);
    this.inFlight.add(proposed);
    const outcome = await proposed;
    this.inFlight.delete(proposed);
    if (outcome.kind === 'committed') {
      return {kind: 'done', value: outcome.result};
    }
    if (outcome.kind === 'unknown') {
      return {...this.redirect(), maybeApplied: true};
    }
    return this.redirectToSuccessor();
  }

  /** Reads the state linearizably: it includes every write acknowledged before the call. */
  async read<Value>(
    readState: (state: ControlState) => Value,
  ): Promise<ControlReply<Value>> {
    if (!this.isLeading) return this.redirectToSuccessor();
    const outcome = await this.replica.confirmRead();
    if (outcome.kind !== 'confirmed') return this.redirectToSuccessor();
    return {kind: 'done', value: readState(this.machine.state)};
  }

  /** Commits admissions in a batch with those of other waiting requests; `full` when the table has no room. */
  admit(
    admissions: readonly Admission[],
  ): Promise<ControlReply<readonly AdmitResult[]> | 'full'> {
    return new Promise(resolve => {
      this.waiting.push({admissions, resolve});
      if (this.batches.size === 0) {
        void this.batches.add(() => this.commitNextBatch());
      }
    });
  }

  /** Does the periodic work: bootstraps the configuration, ends expired leases, deletes expired records. */
  tick(): void {
    if (!this.isLeading) return;
    this.termState.syncLeases();
    this.recordMembers();
    if (this.machine.state.configuration.current.version === 0) {
      void this.proposeBootstrap();
    }
    const now = this.runtime.clock.now();
    for (const epoch of this.termState.entryLeases.expire(now)) {
      void this.endEpoch(epoch);
    }
    for (const target of this.termState.targetLeases.expire(now)) {
      void this.removeTarget(target);
    }
    if (now < this.nextForgetAt) return;
    this.nextForgetAt = now + forgetIntervalMs;
    this.forget();
  }

  /** Redirects the client to the leader, if this replica knows one. */
  redirect(): NotLeader {
    const leader = this.findLeader();
    return leader === undefined
      ? {kind: 'not-leader'}
      : {kind: 'not-leader', leader};
  }

  /** Finds the leader's address; undefined when none is known or when this replica leads but is closing. */
  findLeader(): Address | undefined {
    const {id, leader, members} = this.replica.describeStatus();
    if (this.closed && leader === id) return undefined;
    return members.find(({id}) => id === leader)?.address;
  }

  /**
   * Transfers leadership to another replica, if this one leads; true when another one is known to
   * lead by the deadline. Requests refused meanwhile are redirected once the transfer has ended.
   */
  transferLeadership(deadline: Instant): Promise<boolean> {
    this.leadershipTransfer ??= this.replica.transferLeadership(deadline);
    return this.leadershipTransfer;
  }

  /** Rejects further proposals and waits for those in flight. */
  async close(): Promise<void> {
    this.closed = true;
    await Promise.allSettled([...this.inFlight]);
    await this.batches.onIdle();
  }

  /** As `redirect`, but waits for a leadership transfer in progress to end. */
  private async redirectToSuccessor(): Promise<NotLeader> {
    await this.leadershipTransfer;
    return this.redirect();
  }

  private async commitNextBatch(): Promise<void> {
    const batch: WaitingAdmissions[] = [];
    let size = 0;
    while (this.waiting.length > 0 && size < maxAdmissionsPerBatch) {
      const next = this.waiting.shift()!;
      batch.push(next);
      size += next.admissions.length;
    }
    if (this.waiting.length > 0) {
      void this.batches.add(() => this.commitNextBatch());
    }
    if (batch.length > 0) await this.commitBatch(batch);
  }

  private async commitBatch(
    batch: readonly WaitingAdmissions[],
  ): Promise<void> {
    const startedAt = this.runtime.clock.now();
    const admissions = batch.flatMap(waiting => waiting.admissions);
    const reply = await this.propose({
      kind: 'admit',
      wallMs: Date.now(),
      admissions,
    });
    const {metrics, clock} = this.runtime;
    metrics.timing('control.admit.commit', clock.now() - startedAt);
    metrics.increment('control.admit.jobs', admissions.length);
    if (reply.kind === 'not-leader') {
      for (const {resolve} of batch) resolve(reply);
      return;
    }
    const {value} = reply;
    if (value.kind !== 'admitted') {
      assertInvariant(
        value.kind === 'full',
        'an admit command must return admitted or full',
      );
      for (const {resolve} of batch) resolve('full');
      return;
    }
    let pos = 0;
    for (const {admissions: own, resolve} of batch) {
      resolve({
        kind: 'done',
        value: value.results.slice(pos, pos + own.length),
      });
      pos += own.length;
    }
  }

  /** Records in the log which replicas have log entries on their disks, once for each replica. */
  private recordMembers(): void {
    const members = this.replica
      .describeStatus()
      .progress.filter(({matchIndex}) => matchIndex > 0)
      .map(({id}) => id)
      .filter(id => !this.machine.state.acknowledged.has(id));
    if (members.length === 0 || this.isRecordingMembers) return;
    this.isRecordingMembers = true;
    void this.propose({kind: 'note-members', members}).then(
      () => (this.isRecordingMembers = false),
    );
  }

  private async proposeBootstrap(): Promise<void> {
    if (this.isBootstrapping || this.bootstrap === undefined) return;
    this.isBootstrapping = true;
    const {author, source, homes} = this.bootstrap;
    await this.propose({
      kind: 'configure',
      change: {changeId: bootstrapChangeId, expectedVersion: 0, author, source},
      homes,
    });
    this.isBootstrapping = false;
  }

  private async endEpoch(epoch: Epoch): Promise<void> {
    this.runtime.log.warn(
      {event: 'entry-lease-ended', epoch},
      'ending the epoch of an entry whose lease expired',
    );
    const reply = await this.propose({kind: 'end-epoch', epoch});
    if (reply.kind !== 'done') this.termState.entryLeases.drop(epoch);
  }

  private async removeTarget(target: string): Promise<void> {
    const known = this.machine.state.targets.get(target);
    if (known === undefined) {
      this.termState.targetLeases.drop(target);
      return;
    }
    const {incarnation} = known;
    this.runtime.log.warn(
      {event: 'target-lease-ended', target, incarnation},
      'removing a target whose lease expired',
    );
    await this.propose({kind: 'target-gone', target, incarnation});
    this.termState.targetLeases.drop(target);
  }

  private forget(): void {
    const {admissions, gone, epochs} = this.machine.state;
    const isEmpty =
      admissions.size === 0 && gone.length === 0 && epochs.ended.size === 0;
    if (!isEmpty) void this.propose({kind: 'forget'});
  }
}
