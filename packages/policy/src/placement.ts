import {
  failUnreachable,
  type Instant,
  type Objective,
  type PlacementPolicy,
  type ServiceConfig,
  type ServiceName,
  type TargetId,
} from '#model';
import {CreditPlacement} from './credit-placement.js';
import type {RunTimes} from './estimate.js';
import {ProbePlacement} from './probe-placement.js';
import type {RandomSource} from './random.js';
import {RandomPlacement} from './random-placement.js';

/** What the entry tells the placement of one service. */
export type PlacementEvent =
  /** Announced, or announced anew; `slots` is what the agent welcomed the entry with. */
  | {
      readonly kind: 'target-connected';
      readonly target: TargetId;
      readonly slots: number;
    }
  /** The connection is lost: its grants and reservations are void; tasks sent are still in flight. */
  | {readonly kind: 'target-disconnected'; readonly target: TargetId}
  /** Left the view; tasks sent may still end. */
  | {readonly kind: 'target-gone'; readonly target: TargetId}
  /** How many tasks may be in flight there by its health; 0 bars it. */
  | {
      readonly kind: 'target-allowed';
      readonly target: TargetId;
      readonly maxInFlight: number;
    }
  /** Slots of `entry.grant` and `entry.report`. */
  | {
      readonly kind: 'slots-granted';
      readonly target: TargetId;
      readonly slots: number;
    }
  | {
      readonly kind: 'slots-recalled';
      readonly target: TargetId;
      readonly slots: number;
    }
  /** The task of a `start` verdict was over before it was sent. */
  | {
      readonly kind: 'start-unused';
      readonly target: TargetId;
      readonly granted: boolean;
    }
  /** Every started task ends once. To be applied after its run time was observed. */
  | {readonly kind: 'task-ended'; readonly target: TargetId};

/** A message that the entry must send. */
export type PlacementAction =
  | {
      readonly kind: 'reserve';
      readonly target: TargetId;
      readonly slots: number;
    }
  | {
      readonly kind: 'release';
      readonly target: TargetId;
      readonly slots: number;
    }
  | {
      readonly kind: 'demand';
      readonly target: TargetId;
      readonly waiting: number;
    };

/** The tasks that wait, and the deadline of the one that would start next. */
export interface WaitingTasks {
  readonly waiting: number;
  readonly deadline: Instant;
}

export type PlacementVerdict =
  /** The next task must be started there, or `start-unused` applied. */
  | {
      readonly kind: 'start';
      readonly target: TargetId;
      readonly granted: boolean;
    }
  /** Nothing starts before the next event, or before `until`. */
  | {readonly kind: 'wait'; readonly until: Instant};

/** Which waiting task starts where, and which slots are asked for. Same events, same decisions. */
export interface Placement {
  /** Takes in an event and returns the messages that it calls for at once. */
  readonly apply: (
    event: PlacementEvent,
    now: Instant,
  ) => readonly PlacementAction[];
  /** Places the next waiting task. Must not be called when none waits. */
  readonly place: (tasks: WaitingTasks, now: Instant) => PlacementVerdict;
  /**
   * Asks for slots, or gives up what is not needed. To be called once nothing
   * more can be placed, at least once a turn of the loop in which tasks came,
   * started or ended, and at `until` of the last verdict.
   */
  readonly settle: (
    waiting: number,
    now: Instant,
  ) => readonly PlacementAction[];
  /**
   * Tells what the `agent.start` messages of this turn must carry as `waiting`:
   * each agent's part of the tasks that still wait.
   */
  readonly tellWaiting: (waiting: number, now: Instant) => number;
}

/** What a placement draws on. */
export interface PlacementSources {
  readonly service: ServiceName;
  readonly objective: Objective;
  readonly runTimes: RunTimes;
  readonly random: RandomSource;
}

/** The policy of services that name none. */
export function choosePolicy(objective: Objective): PlacementPolicy {
  switch (objective.kind) {
    case 'response-time':
      return {kind: 'credit'};
    case 'fewest-messages':
      return {kind: 'credit'};
    default:
      return failUnreachable(objective);
  }
}

/** Returns the policy that a service names, or that of its objective. */
export function resolvePolicy(
  service: Pick<ServiceConfig, 'objective' | 'placement'>,
): PlacementPolicy {
  return service.placement ?? choosePolicy(service.objective);
}

/** Creates the placement of one service. A change of policy needs a new one. */
export function createPlacement(
  policy: PlacementPolicy,
  sources: PlacementSources,
): Placement {
  switch (policy.kind) {
    case 'random':
      return new RandomPlacement(sources);
    case 'probe':
      return new ProbePlacement(policy.probesPerTask, sources);
    case 'credit':
      return new CreditPlacement(sources);
    default:
      return failUnreachable(policy);
  }
}
