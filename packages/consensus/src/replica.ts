import {type ControlId, failUnreachable, type Instant} from '#model';
import {proposeChange} from './membership-change.js';
import {ReplicaCore} from './core.js';
import type {CommandEntry, RecoveredState, SnapshotMetadata} from './entry.js';
import {handleAppend, handleInstall} from './follow.js';
import {
  advanceCommit,
  appendEntries,
  handleAppendAccepted,
  handleInstallProgress,
  handleAppendRejected,
  tickLeader,
} from './lead.js';
import type {Leadership} from './leadership.js';
import type {Members} from './member.js';
import type {Message} from './message.js';
import type {ReplicaOptions} from './options.js';
import {computeLeaseDeadline, computeQuorumDeadline} from './quorum.js';
import {beginReads} from './read.js';
import {beginTransfer} from './transfer.js';
import type {Effect, Input, Role, Ticket} from './transition.js';
import {
  countOwnVote,
  handleTakeOver,
  handleVoteReply,
  handleVoteRequest,
  startPreVote,
} from './vote.js';

export interface MemberProgress {
  readonly id: ControlId;
  readonly voter: boolean;
  /** The last index known to be synced on the member's disk; 0 if unknown. */
  readonly matchIndex: number;
  /** Whether it had all entries of the heartbeat before at the last one. */
  readonly caughtUp: boolean;
  /**
   * When this leader last heard from it, or began to follow its progress; Infinity for the leader
   * itself.
   */
  readonly heardAt: Instant;
}

/** The current status of a replica. */
export interface ReplicaStatus {
  readonly id: ControlId;
  readonly role: Role;
  readonly term: number;
  readonly leader?: ControlId;
  readonly lastIndex: number;
  readonly commitIndex: number;
  /**
   * Whether every write is applied here that was acknowledged before the leader sent its latest
   * message: an entry of its term is committed, and all that it told of as committed.
   */
  readonly isCurrent: boolean;
  /**
   * Until when `isCurrent` holds without another message. Past it, this replica may have been paused
   * or cut off while others committed.
   */
  readonly currentUntil: Instant;
  readonly members: Members;
  /** Empty unless this replica is the leader. */
  readonly progress: readonly MemberProgress[];
}

/**
 * A Raft replica as a deterministic state machine: it maps inputs to effects and
 * has no clock and no I/O.
 */
export class Replica {
  private readonly core: ReplicaCore;
  private reportedStatus = '';
  private reportedMembers: Members;

  /** Starts from the persisted state, of which only the snapshot counts as committed. */
  constructor(
    readonly options: ReplicaOptions,
    recovered: RecoveredState,
    now: Instant,
  ) {
    this.core = new ReplicaCore(options, recovered, now);
    this.reportedMembers = this.core.log.members;
  }

  /** When the next `tick` is due. */
  get wakeAt(): Instant {
    const {core} = this;
    if (core.role.kind !== 'leader') return core.electionDeadline;
    const {leadership} = core.role;
    return Math.min(
      leadership.heartbeatDueAt,
      computeQuorumDeadline(core, leadership),
    );
  }

  describeStatus(): ReplicaStatus {
    const {core} = this;
    const {leader} = core;
    return {
      id: core.options.id,
      role: core.reportedRole,
      term: core.term,
      ...(leader !== undefined && {leader}),
      lastIndex: core.log.lastIndex,
      commitIndex: core.commitIndex,
      isCurrent: this.isCurrent,
      currentUntil: this.currentUntil,
      members: core.log.members,
      progress: this.describeProgress(),
    };
  }

  /** Describes a snapshot of the state after a committed entry: position and members. */
  describeSnapshotMetadata(index: number): SnapshotMetadata {
    return this.core.log.getSnapshotMetadata(index);
  }

  /** Processes one input. The returned effects must be executed in order. */
  step(input: Input, now: Instant): readonly Effect[] {
    this.dispatch(input, now);
    this.reportChanges();
    return this.core.outbox.takeEffects();
  }

  private dispatch(input: Input, now: Instant): void {
    switch (input.kind) {
      case 'tick':
        this.tick(now);
        return;
      case 'message':
        this.receive(input.from, input.message, now);
        return;
      case 'propose':
        this.propose(input.ticket, input.commands, now);
        return;
      case 'transfer':
        if (this.core.role.kind !== 'leader') return;
        beginTransfer(this.core, this.core.role.leadership, now);
        return;
      case 'change-members':
        this.writeAsLeader(input.ticket, leadership =>
          proposeChange(this.core, leadership, input.ticket, input.change, now),
        );
        return;
      case 'read':
        this.runAsLeader(input.ticket, leadership => {
          leadership.reads = [...leadership.reads, {ticket: input.ticket}];
          beginReads(this.core, leadership, now);
        });
        return;
      case 'synced':
        this.acknowledgeSync(input.sequence, now);
        return;
      case 'snapshot-saved':
        this.core.log.compact(input.snapshot, this.options.bounds);
        return;
      default:
        failUnreachable(input);
    }
  }

  private tick(now: Instant): void {
    const {core} = this;
    if (core.role.kind === 'leader') {
      tickLeader(core, core.role.leadership, now);
      return;
    }
    if (now < core.electionDeadline) return;
    if (core.isVoter) startPreVote(core, now);
    else core.resetElectionDeadline(now);
  }

  private receive(from: ControlId, message: Message, now: Instant): void {
    const {core} = this;
    switch (message.kind) {
      case 'vote-request':
        handleVoteRequest(core, from, message, now);
        return;
      case 'vote-reply':
        handleVoteReply(core, from, message, now);
        return;
      case 'append':
        handleAppend(core, from, message, now);
        return;
      case 'take-over':
        handleTakeOver(core, from, message, now);
        return;
      case 'install':
        handleInstall(core, from, message, now);
        return;
      default:
        this.receiveReply(from, message, now);
    }
  }

  private receiveReply(
    from: ControlId,
    reply: Extract<
      Message,
      {kind: 'append-accepted' | 'append-rejected' | 'install-progress'}
    >,
    now: Instant,
  ): void {
    const {core} = this;
    if (reply.term > core.term) core.follow(reply.term, undefined);
    if (reply.term !== core.term || core.role.kind !== 'leader') return;
    const {leadership} = core.role;
    switch (reply.kind) {
      case 'append-accepted':
        handleAppendAccepted(core, leadership, from, reply, now);
        return;
      case 'append-rejected':
        handleAppendRejected(core, leadership, from, reply, now);
        return;
      case 'install-progress':
        handleInstallProgress(core, leadership, from, reply, now);
        return;
      default:
        failUnreachable(reply);
    }
  }

  private propose(
    ticket: Ticket,
    commands: readonly Uint8Array[],
    now: Instant,
  ): void {
    if (commands.length === 0) return;
    this.writeAsLeader(ticket, leadership => {
      const {core} = this;
      const {term} = core;
      const index = core.log.lastIndex + 1;
      const entries = commands.map((command, i): CommandEntry => ({
        kind: 'command',
        index: index + i,
        term,
        command,
      }));
      core.outbox.push({kind: 'proposed', ticket, index, term});
      appendEntries(core, leadership, now, entries);
    });
  }

  private runAsLeader(
    ticket: Ticket,
    action: (leadership: Leadership) => void,
  ): void {
    const {role} = this.core;
    if (role.kind === 'leader') action(role.leadership);
    else this.refuse(ticket);
  }

  /** Like `runAsLeader`, but refuses during a leadership transfer. */
  private writeAsLeader(
    ticket: Ticket,
    write: (leadership: Leadership) => void,
  ): void {
    this.runAsLeader(ticket, leadership => {
      if (!leadership.transfer) write(leadership);
      else this.refuse(ticket);
    });
  }

  private refuse(ticket: Ticket): void {
    this.core.outbox.push({kind: 'refused', ticket, reason: 'not-leader'});
  }

  private acknowledgeSync(sequence: number, now: Instant): void {
    const {core} = this;
    for (const tail of core.outbox.acknowledgeSync(sequence, core.term)) {
      if (core.log.getTerm(tail.index) !== tail.term) continue;
      core.durableIndex = Math.max(core.durableIndex, tail.index);
    }
    countOwnVote(core, now);
    if (core.role.kind !== 'leader') return;
    advanceCommit(core, core.role.leadership, now);
  }

  private reportChanges(): void {
    const {core} = this;
    const {term, leader, reportedRole: role} = core;
    const status = `${role} ${term} ${leader}`;
    if (status !== this.reportedStatus) {
      this.reportedStatus = status;
      core.outbox.push({
        kind: 'role',
        role,
        term,
        ...(leader !== undefined && {leader}),
      });
    }
    if (core.log.members === this.reportedMembers) return;
    this.reportedMembers = core.log.members;
    core.outbox.push({kind: 'members', members: core.log.members});
  }

  /** A snapshot may be of the leader's own term, so that the term alone does not show that nothing is missing. */
  private get isCurrent(): boolean {
    const {core} = this;
    if (core.leader === undefined) return false;
    if (core.log.getTerm(core.commitIndex) !== core.term) return false;
    if (core.role.kind === 'leader') return true;
    const {leaderCommitIndex = Infinity} = core;
    return core.commitIndex >= leaderCommitIndex;
  }

  private get currentUntil(): Instant {
    const {core} = this;
    if (core.role.kind === 'leader') {
      return computeLeaseDeadline(core, core.role.leadership);
    }
    return core.lastContactAt + core.options.timing.electionTimeoutMs;
  }

  private describeProgress(): readonly MemberProgress[] {
    const {role, log, options, durableIndex} = this.core;
    if (role.kind !== 'leader') return [];
    const {progress} = role.leadership;
    return log.members.map(({id, voter}) => {
      if (id === options.id) {
        const matchIndex = durableIndex;
        return {id, voter, matchIndex, caughtUp: true, heardAt: Infinity};
      }
      const {
        matchIndex = 0,
        caughtUp = false,
        heardAt = -Infinity,
      } = progress.get(id) ?? {};
      return {id, voter, matchIndex, caughtUp, heardAt};
    });
  }
}
