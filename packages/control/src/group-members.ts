import {type Clock, failUnreachable} from '#model';
import {
  type ChangeRefusal,
  type MemberChange,
  planRepair,
  type RepairOptions,
  type RepairPlan,
  type RepairWait,
} from '#consensus';
import type {
  ChangeMembersParams,
  ControlReply,
  EmptyMessage,
  EnrolParams,
  EnrolResult,
  MemberStatus,
} from '#protocol';
import type {Logger} from '#telemetry';
import {planEnrolment} from './enrolment.js';
import type {Leader} from './leader.js';
import type {Replica} from './replica.js';
import type {ControlMachine} from './state-machine.js';

const repairTimes: Omit<RepairOptions, 'voters'> = {
  silenceMs: 2000,
  presenceMs: 800,
  learnerSilenceMs: 60_000,
};

export interface GroupMembersOptions {
  readonly replica: Replica;
  readonly leader: Leader;
  readonly machine: ControlMachine;
  readonly clock: Clock;
  readonly log: Logger;
  /** The number of voters that the group keeps by itself; undefined when an operator changes members. */
  readonly voters: number | undefined;
}

/** Changes the members of the group: at an operator's or a new replica's request, and to repair it. */
export class GroupMembers {
  private isRepairing = false;
  private lastPlan = '';

  constructor(private readonly options: GroupMembersOptions) {}

  /** Repairs the group by one change, if this replica leads and one is due. */
  tick(): void {
    const plan = this.planRepair();
    if (plan === undefined) return;
    const {log} = this.options;
    const description = describePlan(plan);
    if (description !== this.lastPlan) {
      this.lastPlan = description;
      log.info({event: 'group-repair', plan}, 'the repair of the group');
    }
    if (plan.kind !== 'change' || this.isRepairing) return;
    this.isRepairing = true;
    void this.repair(plan.change);
  }

  describe(): readonly MemberStatus[] {
    const {replica, clock} = this.options;
    const {members, progress} = replica.describeStatus();
    const now = clock.now();
    return members.map(({id, address, voter}) => {
      const followed = progress.find(each => each.id === id);
      return {
        member: id,
        address,
        voter,
        matchIndex: followed?.matchIndex ?? 0,
        ...(followed && {silentMs: Math.max(0, now - followed.heardAt)}),
      };
    });
  }

  /** Describes what the leader does to repair the group; undefined elsewhere and without a repair. */
  describeRepair(): string | undefined {
    const plan = this.planRepair();
    return plan && describePlan(plan);
  }

  /** Requests the next change, if any, that a replica needs to be a member. */
  async acceptEnrolment({
    member,
    address,
  }: EnrolParams): Promise<ControlReply<EnrolResult>> {
    const {leader, replica, log, voters} = this.options;
    if (!leader.isLeading) return leader.redirect();
    const {members} = replica.describeStatus();
    const change = planEnrolment(members, member, address);
    if (change === undefined) return {kind: 'done', value: {votes: true}};
    const isRepair = change.kind === 'promote' && voters !== undefined;
    if (isRepair) return {kind: 'done', value: {votes: false}};
    const outcome = await replica.changeMembers(change);
    log.info(
      {event: 'enrolment', change, outcome},
      'requested a membership change to enrol a replica',
    );
    if (outcome.kind === 'not-leader') return leader.redirect();
    return {kind: 'done', value: {votes: false}};
  }

  /** Makes an operator's change. Throws when it is refused. */
  async change(
    params: ChangeMembersParams,
  ): Promise<ControlReply<EmptyMessage>> {
    const {replica, leader} = this.options;
    const change = parseMemberChange(params);
    const outcome = await replica.changeMembers(change);
    switch (outcome.kind) {
      case 'committed':
        return {kind: 'done', value: {}};
      case 'not-leader':
        return leader.redirect();
      case 'unknown':
        return {...leader.redirect(), maybeApplied: true};
      case 'refused':
        if (this.isApplied(change, outcome.reason)) {
          return {kind: 'done', value: {}};
        }
        // A newly elected leader becomes ready within a round trip, so the client retries.
        if (outcome.reason === 'not-ready') return leader.redirect();
        throw new Error(
          `${params.change} of "${params.member}" is refused: ${outcome.reason}`,
        );
    }
  }

  private planRepair(): RepairPlan | undefined {
    const {replica, leader, clock, voters} = this.options;
    if (voters === undefined || !leader.isLeading) return undefined;
    const status = replica.describeStatus();
    return planRepair(status, {...repairTimes, voters}, clock.now());
  }

  private async repair(change: MemberChange): Promise<void> {
    const outcome = await this.options.replica.changeMembers(change);
    this.isRepairing = false;
    this.options.log.info(
      {event: 'group-repaired', change, outcome},
      'requested a membership change to repair the group',
    );
  }

  /** True when a refused change was made before, so that a retry gets the answer of the first request. */
  private isApplied(change: MemberChange, reason: ChangeRefusal): boolean {
    const {replica, machine} = this.options;
    const {members} = replica.describeStatus();
    const existing = members.find(({id}) => id === change.member);
    switch (change.kind) {
      case 'add-learner':
        return (
          reason === 'already-member' && existing?.address === change.address
        );
      case 'promote':
        return reason === 'already-member';
      case 'remove':
        return (
          reason === 'unknown-member' &&
          machine.state.acknowledged.has(change.member)
        );
      default:
        return failUnreachable(change);
    }
  }
}

function describePlan(plan: RepairPlan): string {
  switch (plan.kind) {
    case 'whole':
      return 'the group is whole';
    case 'change':
      return `${plan.change.kind} ${plan.change.member}`;
    case 'wait':
      return describeWait(plan.reason);
    default:
      return failUnreachable(plan);
  }
}

function describeWait(reason: RepairWait): string {
  switch (reason) {
    case 'no-quorum':
      return 'waiting: the voters that answer are no quorum';
    case 'no-learner':
      return 'waiting: no learner has caught up that could take the place of a voter';
    case 'second-learner':
      return 'waiting: a second learner is needed, as the number of voters stays odd';
    default:
      return failUnreachable(reason);
  }
}

/** Throws when the address of a new learner is missing. */
function parseMemberChange({
  change,
  member,
  address,
}: ChangeMembersParams): MemberChange {
  if (change !== 'add-learner') return {kind: change, member};
  if (address === undefined) {
    throw new Error(`add-learner of "${member}" needs an address`);
  }
  return {kind: change, member, address};
}
