import type {Instant} from '#model';
import {computeDrawWeight} from './speed.js';
import {RandomSet} from './random-set.js';
import type {
  Placement,
  PlacementAction,
  PlacementEvent,
  PlacementSources,
  PlacementDecision,
} from './placement.js';
import {type TargetState, TargetTable} from './target-table.js';

/** Limit of the tasks that one entry has in flight at a target, per slot. */
const inFlightPerSlot = 2;

/**
 * Sends each task to a randomly drawn target without reserving a slot. Agents
 * queue or refuse tasks for which they have no slot. Serves as the baseline for
 * the other policies.
 */
export class RandomPlacement implements Placement {
  private readonly targets: TargetTable;
  /** Connected targets below their limit of tasks in flight. */
  private readonly availableTargets = new RandomSet<TargetState>();

  constructor(private readonly sources: PlacementSources) {
    this.targets = new TargetTable(sources);
  }

  apply(event: PlacementEvent, now: Instant): readonly PlacementAction[] {
    if (event.kind === 'target-connected') {
      this.updateAvailableTargets(
        this.targets.connect(event.target, event.slots, now),
      );
      return [];
    }
    const state = this.targets.find(event.target);
    if (state === undefined) return [];
    if (!isSlotEvent(event)) this.targets.apply(state, event, now);
    this.updateAvailableTargets(state);
    return [];
  }

  place(): PlacementDecision {
    const state = pickBySpeed(this.availableTargets, this.sources);
    if (state === undefined) return {kind: 'wait', until: Infinity};
    this.targets.start(state, false);
    this.updateAvailableTargets(state);
    return {kind: 'start', target: state.target, granted: false};
  }

  settle(): readonly PlacementAction[] {
    return [];
  }

  reportWaiting(waiting: number): number {
    return waiting;
  }

  private updateAvailableTargets(state: TargetState): void {
    const limit = Math.min(state.maxInFlight, state.slots * inFlightPerSlot);
    this.availableTargets.set(state, state.connected && state.inFlight < limit);
  }
}

/** Whether an event concerns granted slots, which this policy does not use. */
function isSlotEvent({kind}: PlacementEvent): boolean {
  return kind === 'slots-granted' || kind === 'slots-recalled';
}

/** Maximum number of draws; the last drawn target is accepted whatever its speed. */
const maxDraws = 4;

/**
 * Draws a target at random. A target slower than the service's mean run time is
 * rejected with a probability that grows with its run time, for a limited
 * number of draws.
 */
export function pickBySpeed(
  targets: RandomSet<TargetState>,
  sources: PlacementSources,
): TargetState | undefined {
  let drawn: TargetState | undefined;
  for (let i = 0; i < maxDraws; i++) {
    drawn = targets.pick(sources.random);
    if (drawn === undefined) return undefined;
    if (sources.random.drawFloat() < computeDrawWeight(drawn.runMs, sources))
      break;
  }
  return drawn;
}
