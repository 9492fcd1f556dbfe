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
  Homes,
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
import type {Machine} from './machine.js';
import type {Office} from './office.js';
import type {Replica} from './replica.js';

/** A command without the log time, which the leader adds. */
export type Proposal = Command extends infer One
  ? One extends Command
    ? Omit<One, 'time'>
    : never
  : never;

/** Batches of admissions in the log at a time; the next one gathers meanwhile. */
const maxBatchesInFlight = 2;
const maxAdmissionsPerBatch = 2048;
const forgetIntervalMs = 2000;

interface WaitingAdmissions {
  readonly admissions: readonly Admission[];
  readonly resolve: (
    reply: ControlReply<readonly AdmitResult[]> | 'full',
  ) => void;
}

/** What this replica does while it leads: proposes, confirms reads, ends leases, forgets. */
export class Leader {
  private readonly batches = new PQueue({concurrency: maxBatchesInFlight});
  private readonly inFlight = new Set<Promise<unknown>>();
  private waiting: WaitingAdmissions[] = [];
  private nextForget = 0;
  private bootstrapping = false;
  private noting = false;
  private handingOver: Promise<boolean> | undefined;
  private closed = false;

  constructor(
    private readonly replica: Replica,
    private readonly machine: Machine,
    private readonly office: Office,
    /** The first configuration; unset when another group is its origin. */
    private readonly bootstrap:
      | {
          readonly author: string;
          readonly source: ConfigurationSource;
          readonly homes: Homes;
        }
      | undefined,
    private readonly runtime: {
      readonly clock: Clock;
      readonly log: Logger;
      readonly metrics: Metrics;
    },
  ) {}

  /** True while this replica believes to lead; enters the term when it is new. */
  get leads(): boolean {
    if (this.closed) return false;
    const {role, term} = this.replica.describeStatus();
    if (role !== 'leader') return false;
    this.office.begin(term);
    return true;
  }

  /** Commits a command and returns what it came to. */
  async propose(proposal: Proposal): Promise<ControlReply<CommandResult>> {
    if (!this.leads) return this.redirectToSuccessor();
    const time = this.office.tellTime();
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

  /** Reads the state as it is after every write acknowledged before the call. */
  async read<Value>(
    readState: (state: ControlState) => Value,
  ): Promise<ControlReply<Value>> {
    if (!this.leads) return this.redirectToSuccessor();
    const outcome = await this.replica.confirmRead();
    if (outcome.kind !== 'confirmed') return this.redirectToSuccessor();
    return {kind: 'done', value: readState(this.machine.state)};
  }

  /** Commits admissions together with those of other requests that wait; `full` when there is no room. */
  admit(
    admissions: readonly Admission[],
  ): Promise<ControlReply<readonly AdmitResult[]> | 'full'> {
    return new Promise(resolve => {
      this.waiting.push({admissions, resolve});
      if (this.batches.size === 0) {
        void this.batches.add(() => this.commitWaiting());
      }
    });
  }

  /** Does what is due: the first configuration, ended leases, expired records. */
  tick(): void {
    if (!this.leads) return;
    this.office.matchLeases();
    this.noteMembers();
    if (this.machine.state.configuration.current.version === 0) {
      void this.proposeBootstrap();
    }
    const now = this.runtime.clock.now();
    for (const epoch of this.office.entries.expire(now)) {
      void this.endEpoch(epoch);
    }
    for (const target of this.office.targets.expire(now)) {
      void this.removeTarget(target);
    }
    if (now < this.nextForget) return;
    this.nextForget = now + forgetIntervalMs;
    this.forget();
  }

  /** Says where the leader is, as far as this replica knows. */
  redirect(): NotLeader {
    const leader = this.findLeader();
    return leader === undefined
      ? {kind: 'not-leader'}
      : {kind: 'not-leader', leader};
  }

  /** Finds the leader's address, if one is known and stays. */
  findLeader(): Address | undefined {
    const {id, leader, members} = this.replica.describeStatus();
    if (this.closed && leader === id) return undefined;
    return members.find(({id}) => id === leader)?.address;
  }

  /**
   * Hands leadership to another replica, if this one leads; true when another one is known to
   * lead by the deadline. What is asked meanwhile is answered with a redirection to it.
   */
  transferLeadership(deadline: Instant): Promise<boolean> {
    this.handingOver ??= this.replica.transferLeadership(deadline);
    return this.handingOver;
  }

  /** Takes no more proposals and waits for those in flight. */
  async close(): Promise<void> {
    this.closed = true;
    await Promise.allSettled([...this.inFlight]);
    await this.batches.onIdle();
  }

  /** As `redirect`, but only once a hand-over has come to its end. */
  private async redirectToSuccessor(): Promise<NotLeader> {
    await this.handingOver;
    return this.redirect();
  }

  private async commitWaiting(): Promise<void> {
    const batch: WaitingAdmissions[] = [];
    let size = 0;
    while (this.waiting.length > 0 && size < maxAdmissionsPerBatch) {
      const next = this.waiting.shift()!;
      batch.push(next);
      size += next.admissions.length;
    }
    if (this.waiting.length > 0) {
      void this.batches.add(() => this.commitWaiting());
    }
    if (batch.length > 0) await this.commitBatch(batch);
  }

  private async commitBatch(
    batch: readonly WaitingAdmissions[],
  ): Promise<void> {
    const begun = this.runtime.clock.now();
    const admissions = batch.flatMap(one => one.admissions);
    const reply = await this.propose({
      kind: 'admit',
      wallMs: Date.now(),
      admissions,
    });
    const {metrics, clock} = this.runtime;
    metrics.timing('control.admit.commit', clock.now() - begun);
    metrics.increment('control.admit.jobs', admissions.length);
    if (reply.kind === 'not-leader') {
      for (const {resolve} of batch) resolve(reply);
      return;
    }
    const {value} = reply;
    if (value.kind !== 'admitted') {
      assertInvariant(value.kind === 'full', 'admit was not answered as such');
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

  /** Notes in the log which replicas have entries on their disks, once each. */
  private noteMembers(): void {
    const members = this.replica
      .describeStatus()
      .progress.filter(({matchIndex}) => matchIndex > 0)
      .map(({id}) => id)
      .filter(id => !this.machine.state.acknowledged.has(id));
    if (members.length === 0 || this.noting) return;
    this.noting = true;
    void this.propose({kind: 'note-members', members}).then(
      () => (this.noting = false),
    );
  }

  private async proposeBootstrap(): Promise<void> {
    if (this.bootstrapping || this.bootstrap === undefined) return;
    this.bootstrapping = true;
    const {author, source, homes} = this.bootstrap;
    await this.propose({
      kind: 'configure',
      change: {changeId: bootstrapChangeId, expectedVersion: 0, author, source},
      homes,
    });
    this.bootstrapping = false;
  }

  private async endEpoch(epoch: Epoch): Promise<void> {
    this.runtime.log.warn({event: 'entry-lease-ended', epoch}, 'ends an epoch');
    const reply = await this.propose({kind: 'end-epoch', epoch});
    if (reply.kind !== 'done') this.office.entries.drop(epoch);
  }

  private async removeTarget(target: string): Promise<void> {
    const known = this.machine.state.targets.get(target);
    if (known === undefined) {
      this.office.targets.drop(target);
      return;
    }
    const {incarnation} = known;
    this.runtime.log.warn(
      {event: 'target-lease-ended', target, incarnation},
      'removes a target',
    );
    await this.propose({kind: 'target-gone', target, incarnation});
    this.office.targets.drop(target);
  }

  private forget(): void {
    const {admissions, gone, epochs} = this.machine.state;
    const nothing =
      admissions.size === 0 && gone.length === 0 && epochs.ended.size === 0;
    if (!nothing) void this.propose({kind: 'forget'});
  }
}
