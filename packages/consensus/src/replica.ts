import {type ControlId, failUnreachable, type Instant} from '#model';
import {beginChange} from './change.js';
import {Core} from './core.js';
import type {CommandEntry, RecoveredState, SnapshotPlace} from './entry.js';
import {handleAppend, handleInstall} from './follow.js';
import {
  advanceCommit,
  appendEntries,
  handleAccepted,
  handleInstallProgress,
  handleRejected,
  tickLeader,
} from './lead.js';
import type {Leadership} from './leadership.js';
import type {Members} from './member.js';
import type {Message} from './message.js';
import type {ReplicaOptions} from './options.js';
import {computeQuorumDeadline} from './quorum.js';
import {beginReads} from './read.js';
import {beginTransfer} from './transfer.js';
import type {Effect, Input, Role, Ticket} from './transition.js';
import {
  countOwnVote,
  handleTakeOver,
  handleVoteReply,
  handleVoteRequest,
  pollVoters,
} from './vote.js';

export interface MemberProgress {
  readonly id: ControlId;
  readonly voter: boolean;
  /** The last index known to be on the member's disk; 0 where unknown. */
  readonly matchIndex: number;
}

/** A replica as it stands. */
export interface ReplicaStatus {
  readonly id: ControlId;
  readonly role: Role;
  readonly term: number;
  readonly leader?: ControlId;
  readonly lastIndex: number;
  readonly commitIndex: number;
  readonly members: Members;
  /** Known by the leader only. */
  readonly progress: readonly MemberProgress[];
}

/** One replica of a replicated log: inputs in, effects out. It has no clock and no I/O. */
export class Replica {
  private readonly core: Core;
  private announced = '';
  private announcedMembers: Members;

  /** Starts on what the disk holds. Nothing of it counts as committed but the snapshot. */
  constructor(
    readonly options: ReplicaOptions,
    recovered: RecoveredState,
    now: Instant,
  ) {
    this.core = new Core(options, recovered, now);
    this.announcedMembers = this.core.log.members;
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

  /** Describes the replica. */
  describeStatus(): ReplicaStatus {
    const {core} = this;
    const {leader} = core;
    return {
      id: core.options.id,
      role: core.publicRole,
      term: core.term,
      ...(leader !== undefined && {leader}),
      lastIndex: core.log.lastIndex,
      commitIndex: core.commitIndex,
      members: core.log.members,
      progress: this.describeProgress(),
    };
  }

  /** Describes the place of a snapshot of the state after a committed entry. */
  describeSnapshotPlace(index: number): SnapshotPlace {
    return this.core.log.getSnapshotPlace(index);
  }

  /** Takes one input; the effects must be carried out in order. */
  step(input: Input, now: Instant): readonly Effect[] {
    this.dispatch(input, now);
    this.announceChanges();
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
          beginChange(this.core, leadership, input.ticket, input.change, now),
        );
        return;
      case 'read':
        this.useLeadership(input.ticket, leadership => {
          leadership.reads = [...leadership.reads, {ticket: input.ticket}];
          beginReads(this.core, leadership, now);
        });
        return;
      case 'synced':
        this.acknowledgeSync(input.sequence, now);
        return;
      case 'snapshot-saved':
        this.core.log.compact(
          input.snapshot,
          this.options.bounds.trailingEntries,
        );
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
    if (core.isVoter) pollVoters(core, now);
    else core.deferElection(now);
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
        handleAccepted(core, leadership, from, reply, now);
        return;
      case 'append-rejected':
        handleRejected(core, leadership, from, reply, now);
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

  private useLeadership(
    ticket: Ticket,
    use: (leadership: Leadership) => void,
  ): void {
    const {role} = this.core;
    if (role.kind === 'leader') use(role.leadership);
    else this.refuse(ticket);
  }

  /** As `useLeadership`, but refused while the leader hands over. */
  private writeAsLeader(
    ticket: Ticket,
    write: (leadership: Leadership) => void,
  ): void {
    this.useLeadership(ticket, leadership => {
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

  private announceChanges(): void {
    const {core} = this;
    const {term, leader, publicRole: role} = core;
    const announced = `${role} ${term} ${leader}`;
    if (announced !== this.announced) {
      this.announced = announced;
      core.outbox.push({
        kind: 'role',
        role,
        term,
        ...(leader !== undefined && {leader}),
      });
    }
    if (core.log.members === this.announcedMembers) return;
    this.announcedMembers = core.log.members;
    core.outbox.push({kind: 'members', members: core.log.members});
  }

  private describeProgress(): readonly MemberProgress[] {
    const {role, log, options, durableIndex} = this.core;
    if (role.kind !== 'leader') return [];
    return log.members.map(({id, voter}) => ({
      id,
      voter,
      matchIndex:
        id === options.id
          ? durableIndex
          : (role.leadership.progress.get(id)?.matchIndex ?? 0),
    }));
  }
}
