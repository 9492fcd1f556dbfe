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

/** An event of the entry that the placement of one service must apply. */
export type PlacementEvent =
  /** Connected, or connected again; `slots` is the number in the agent's `welcome`. */
  | {
      readonly kind: 'target-connected';
      readonly target: TargetId;
      readonly slots: number;
    }
  /** The connection is lost: its grants and reservations become invalid; sent tasks stay in flight. */
  | {readonly kind: 'target-disconnected'; readonly target: TargetId}
  /** The target left the membership view; sent tasks may still end. */
  | {readonly kind: 'target-gone'; readonly target: TargetId}
  /** Limit of the tasks in flight that follows from the target's health; 0 excludes it. */
  | {
      readonly kind: 'target-allowed';
      readonly target: TargetId;
      readonly maxInFlight: number;
    }
  /** Slots granted in `entry.grant` or `entry.report`. */
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
  /** The task of a `start` decision was not sent, for example because its job had ended. */
  | {
      readonly kind: 'start-unused';
      readonly target: TargetId;
      readonly granted: boolean;
    }
  /** Occurs once for each started task. Must be applied after its run time was observed. */
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

/** The number of waiting tasks and the deadline of the next one to start. */
export interface WaitingTasks {
  readonly waiting: number;
  readonly deadline: Instant;
}

export type PlacementDecision =
  /** The caller must start the next task at the target, or apply `start-unused`. */
  | {
      readonly kind: 'start';
      readonly target: TargetId;
      readonly granted: boolean;
    }
  /** No task may start before the next event or `until`. */
  | {readonly kind: 'wait'; readonly until: Instant};

/**
 * Decides where waiting tasks start and which slots are requested. The same
 * inputs yield the same decisions.
 */
export interface Placement {
  /** Applies an event and returns the messages to send immediately. */
  readonly apply: (
    event: PlacementEvent,
    now: Instant,
  ) => readonly PlacementAction[];
  /** Places the next waiting task. Must not be called when none waits. */
  readonly place: (tasks: WaitingTasks, now: Instant) => PlacementDecision;
  /**
   * Requests slots, or releases those that are not needed. Must be called once
   * no more tasks can be placed, at least once in every event loop turn in which
   * tasks arrived, started or ended, and at `until` of the last decision.
   */
  readonly settle: (
    waiting: number,
    now: Instant,
  ) => readonly PlacementAction[];
  /**
   * Returns the `waiting` value for the `agent.start` messages of this event
   * loop turn: the number of waiting tasks, or each agent's share of them.
   */
  readonly reportWaiting: (waiting: number, now: Instant) => number;
}

/** The inputs of a placement besides its events. */
export interface PlacementSources {
  readonly service: ServiceName;
  readonly objective: Objective;
  readonly runTimes: RunTimes;
  readonly random: RandomSource;
}

/** Returns the default policy for an objective. */
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

/** Returns the policy that a service specifies, or the default for its objective. */
export function resolvePolicy(
  service: Pick<ServiceConfig, 'objective' | 'placement'>,
): PlacementPolicy {
  return service.placement ?? choosePolicy(service.objective);
}

/** Creates the placement of one service. A changed policy requires a new one. */
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
