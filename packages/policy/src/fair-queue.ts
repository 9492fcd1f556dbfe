import type {Queue, QueueAddOptions} from 'p-queue';
import {assertInvariant, type Instant, type TeamName} from '#model';
import {Heap, type HeapElement} from './heap.js';

type RunFunction = () => Promise<unknown>;

/** Scheduling options of a task. A task without a team belongs to the team `''`. */
export interface FairQueueOptions extends QueueAddOptions {
  readonly team?: TeamName;
  /** The team's weight relative to the other teams. The last weight given applies to all its tasks. */
  readonly weight?: number;
  readonly deadline?: Instant;
  /** Tasks of the same job and priority are dequeued in FIFO order. Unset: the task is a job of its own. */
  readonly job?: string;
  /** The job has already started tasks. */
  readonly inHand?: boolean;
  /** Work of the task relative to other tasks; 1 when unset. */
  readonly cost?: number;
}

interface Item {
  readonly run: RunFunction;
  readonly options: FairQueueOptions;
  readonly group: Group;
  removed: boolean;
}

/** The waiting tasks of one job with one priority. */
interface Group extends HeapElement {
  readonly key: string;
  readonly lane: Lane;
  readonly priority: number;
  readonly order: number;
  readonly items: Item[];
  deadline: Instant;
  inHand: boolean;
  head: number;
  size: number;
}

/** The queue of one team. */
interface Lane extends HeapElement {
  readonly team: TeamName;
  readonly groups: Heap<Group>;
  readonly byKey: Map<string, Group>;
  weight: number;
  /** Virtual time at which the next task of the team starts. */
  startTag: number;
  size: number;
  /** Turn in which the team was last served. A turn is one dequeued task of any team. */
  lastTurn: number;
  /** Turns that served the team, decaying by half in `recentTurns` turns. */
  served: number;
  /** All turns while the team waited, decaying like `served`. */
  passed: number;
  /** Turn since which the team has waited to be served. */
  waitingTurn: number;
}

/** A team served within this many turns counts as active; also the half-life of the served counts. */
const recentTurns = 512;
/** Below this many turns, the share that a team received is not used. */
const minMeasuredTurns = 32;
const defaultWeight = 1;
const defaultCost = 1;

/**
 * Start-time fair queueing between teams, earliest deadline first within a team.
 *
 * Each team has a start tag in virtual time. The team with the lowest tag is
 * served, and its tag grows by cost / weight. Over any period in which two teams
 * wait, their service deviates from the ratio of their weights by at most one
 * task each. A team that becomes active starts from the current virtual time and
 * earns no credit for idle time, so every waiting team is served after a bounded
 * amount of work of the other teams.
 */
export class FairQueue implements Queue<RunFunction, FairQueueOptions> {
  private readonly lanes = new Map<TeamName, Lane>();
  private readonly activeLanes = new Heap<Lane>(compareLanes);
  private readonly items = new Map<string, Item>();
  private virtualTime = 0;
  private nextOrder = 0;
  private turns = 0;

  /** Number of waiting tasks. */
  get size(): number {
    return this.items.size;
  }

  /** Adds a task. Its id must be unique in the queue. */
  enqueue(run: RunFunction, options: Partial<FairQueueOptions> = {}): void {
    const id = options.id ?? `#${this.nextOrder}`;
    assertInvariant(!this.items.has(id), `task "${id}" is queued already`);
    const lane = this.getOrCreateLane(options);
    const group = this.getOrCreateGroup(lane, id, options);
    const item = {run, options: {...options, id}, group, removed: false};
    this.items.set(id, item);
    group.items.push(item);
    group.size++;
    lane.size++;
    this.updateGroup(group, options);
    if (lane.position === -1) this.addActiveLane(lane);
  }

  /** Removes and returns the next task; `undefined` when none waits. */
  dequeue(): RunFunction | undefined {
    const item = this.findNext();
    if (item === undefined) return undefined;
    const {lane} = item.group;
    this.virtualTime = lane.startTag;
    this.recordTurn(lane);
    lane.startTag += (item.options.cost ?? defaultCost) / lane.weight;
    this.discard(item);
    this.updateGroup(item.group, {inHand: true});
    if (lane.position !== -1) this.activeLanes.update(lane);
    return item.run;
  }

  /** Returns the options of the next task; `undefined` when none waits. */
  peek(): FairQueueOptions | undefined {
    return this.findNext()?.options;
  }

  /** Removes a task. Does nothing when it is not in the queue. */
  remove(id: string): void {
    const item = this.items.get(id);
    if (item !== undefined) this.discard(item);
  }

  /** Lists the tasks with the given priority, team and job, in no particular order. */
  filter(options: Readonly<Partial<FairQueueOptions>>): RunFunction[] {
    const {priority, team, job} = options;
    return [...this.items.values()]
      .filter(
        ({options: one, group}) =>
          (priority === undefined || group.priority === priority) &&
          (team === undefined || group.lane.team === team) &&
          (job === undefined || one.job === job),
      )
      .map(item => item.run);
  }

  /** Changes a task's priority. Within a team, tasks of a higher priority go first. */
  setPriority(id: string, priority: number): void {
    const item = this.items.get(id);
    if (item === undefined) {
      throw new ReferenceError(`task "${id}" is not in the queue`);
    }
    const {inHand, lane} = item.group;
    const startTag = lane.startTag;
    this.discard(item);
    this.enqueue(item.run, {...item.options, priority, inHand});
    lane.startTag = startTag;
    this.activeLanes.update(lane);
  }

  /** Changes a team's weight from its next task on. The weight must be positive. */
  setWeight(team: TeamName, weight: number): void {
    assertInvariant(
      weight > 0,
      `weight of team "${team}" must be positive, but is ${weight}`,
    );
    this.getOrCreateLane({team}).weight = weight;
  }

  /** Counts the waiting tasks of a team. */
  countWaiting(team: TeamName): number {
    return this.lanes.get(team)?.size ?? 0;
  }

  /**
   * Computes the share of the service, from 0 to 1, that a team can count on: the
   * share it recently received while it waited, but at least its weight over the
   * weights of all teams that wait or were recently served.
   */
  computeShare(team: TeamName, weight: number): number {
    const oldestRecentTurn = this.turns - recentTurns;
    let weightSum = weight;
    for (const lane of this.lanes.values()) {
      const isActive = lane.size > 0 || lane.lastTurn >= oldestRecentTurn;
      if (isActive && lane.team !== team) weightSum += lane.weight;
    }
    const {served = 0, passed = 0} = this.lanes.get(team) ?? {};
    const receivedShare = passed < minMeasuredTurns ? 0 : served / passed;
    return Math.max(receivedShare, weight / weightSum);
  }

  /** Removes teams that are no longer configured and have no waiting tasks. */
  pruneTeams(configured: ReadonlySet<TeamName>): void {
    for (const [team, lane] of this.lanes) {
      if (lane.size === 0 && !configured.has(team)) this.lanes.delete(team);
    }
  }

  private recordTurn(lane: Lane): void {
    this.turns++;
    const elapsedTurns = this.turns - lane.waitingTurn;
    const decay = 2 ** (-elapsedTurns / recentTurns);
    lane.served = lane.served * decay + 1;
    lane.passed = lane.passed * decay + elapsedTurns;
    lane.waitingTurn = this.turns;
    lane.lastTurn = this.turns;
  }

  private findNext(): Item | undefined {
    const group = this.activeLanes.peek()?.groups.peek();
    if (group === undefined) return undefined;
    while (group.items[group.head]!.removed) group.head++;
    return group.items[group.head];
  }

  private getOrCreateLane({
    team = '',
    weight,
  }: Partial<FairQueueOptions>): Lane {
    const existing = this.lanes.get(team);
    if (existing !== undefined) {
      if (weight !== undefined) this.setWeight(team, weight);
      return existing;
    }
    const lane: Lane = {
      team,
      groups: new Heap(compareGroups),
      byKey: new Map(),
      weight: defaultWeight,
      startTag: this.virtualTime,
      size: 0,
      lastTurn: -Infinity,
      served: 0,
      passed: 0,
      waitingTurn: 0,
      position: -1,
    };
    this.lanes.set(team, lane);
    if (weight !== undefined) this.setWeight(team, weight);
    return lane;
  }

  private getOrCreateGroup(
    lane: Lane,
    id: string,
    {job, priority = 0, deadline = Infinity}: Partial<FairQueueOptions>,
  ): Group {
    const key =
      job === undefined ? `task ${priority} ${id}` : `job ${priority} ${job}`;
    const existing = lane.byKey.get(key);
    if (existing !== undefined) return existing;
    const group: Group = {
      key,
      lane,
      priority,
      order: this.nextOrder++,
      items: [],
      deadline,
      inHand: false,
      head: 0,
      size: 0,
      position: -1,
    };
    lane.byKey.set(key, group);
    lane.groups.push(group);
    return group;
  }

  private updateGroup(
    group: Group,
    {inHand = false, deadline = Infinity}: Partial<FairQueueOptions>,
  ): void {
    group.inHand ||= inHand;
    group.deadline = Math.min(group.deadline, deadline);
    if (group.position !== -1) group.lane.groups.update(group);
  }

  private addActiveLane(lane: Lane): void {
    lane.startTag = Math.max(lane.startTag, this.virtualTime);
    lane.waitingTurn = this.turns;
    this.activeLanes.push(lane);
  }

  private discard(item: Item): void {
    const {group} = item;
    const {lane} = group;
    item.removed = true;
    this.items.delete(item.options.id!);
    group.size--;
    lane.size--;
    if (group.size === 0) {
      lane.byKey.delete(group.key);
      lane.groups.remove(group);
    }
    if (lane.size === 0) this.activeLanes.remove(lane);
  }
}

/** Creates a queue class for p-queue whose constructor returns the given queue. */
export function createFairQueueClass(queue: FairQueue): new () => FairQueue {
  return class extends FairQueue {
    constructor() {
      super();
      return queue;
    }
  };
}

function compareLanes(a: Lane, b: Lane): number {
  return a.startTag - b.startTag;
}

/** Orders by higher priority, then jobs that have started tasks, then earlier deadline, then age. */
function compareGroups(a: Group, b: Group): number {
  if (a.priority !== b.priority) return b.priority - a.priority;
  if (a.inHand !== b.inHand) return a.inHand ? -1 : 1;
  if (a.deadline !== b.deadline) return a.deadline - b.deadline;
  return a.order - b.order;
}
