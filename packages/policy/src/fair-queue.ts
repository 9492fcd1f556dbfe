import type {Queue, QueueAddOptions} from 'p-queue';
import {assertInvariant, type Instant, type TeamName} from '#model';
import {Heap, type HeapElement} from './heap.js';

type RunFunction = () => Promise<unknown>;

/** What orders a task. A task without a team belongs to the team `''`. */
export interface FairQueueOptions extends QueueAddOptions {
  readonly team?: TeamName;
  /** The team's share, relative to the other teams; the last one given holds. */
  readonly weight?: number;
  readonly deadline?: Instant;
  /** Tasks of one job are dequeued in the order enqueued. Unset: a job of its own. */
  readonly job?: string;
  /** The job has already started tasks. */
  readonly inHand?: boolean;
  /** Work of the task relative to the others; 1 when unset. */
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

/** One team. Its start tag is the virtual time at which its next task is due. */
interface Lane extends HeapElement {
  readonly team: TeamName;
  readonly groups: Heap<Group>;
  readonly byKey: Map<string, Group>;
  weight: number;
  startTag: number;
  size: number;
  /** Of all tasks dequeued, the number of the team's last one. */
  lastTurn: number;
  /** Tasks of the team, and of all teams while it waited; each halves in `recentTurns`. */
  served: number;
  passed: number;
  /** Since which turn the team has waited to be served. */
  waitingTurn: number;
}

/** A team served within so many tasks counts as active. */
const recentTurns = 512;
const minPassedTurns = 32;
const defaultWeight = 1;
const defaultCost = 1;

/**
 * Start-time fair queueing between teams; earliest deadline first inside a team.
 *
 * Each team has a start tag in virtual time. The team with the lowest tag is
 * served, and its tag grows by cost / weight, so that over any period in which
 * two teams wait, their service differs from their weights' ratio by one task
 * each. A team that was idle starts from the current virtual time: it gains no
 * claim by having waited for nothing, and every waiting team is served after a
 * bounded amount of other teams' work.
 */
export class FairQueue implements Queue<RunFunction, FairQueueOptions> {
  private readonly lanes = new Map<TeamName, Lane>();
  private readonly active = new Heap<Lane>(compareLanes);
  private readonly items = new Map<string, Item>();
  private virtualTime = 0;
  private nextOrder = 0;
  private turns = 0;

  /** Tasks that wait. */
  get size(): number {
    return this.items.size;
  }

  /** Adds a task. Its id must not be in the queue. */
  enqueue(run: RunFunction, options: Partial<FairQueueOptions> = {}): void {
    const id = options.id ?? `#${this.nextOrder}`;
    assertInvariant(!this.items.has(id), `task "${id}" is queued already`);
    const lane = this.openLane(options);
    const group = this.openGroup(lane, id, options);
    const item = {run, options: {...options, id}, group, removed: false};
    this.items.set(id, item);
    group.items.push(item);
    group.size++;
    lane.size++;
    this.moveGroup(group, options);
    if (lane.position === -1) this.insertLane(lane);
  }

  /** Takes the next task out; `undefined` when none waits. */
  dequeue(): RunFunction | undefined {
    const item = this.findNext();
    if (item === undefined) return undefined;
    const {lane} = item.group;
    this.virtualTime = lane.startTag;
    this.countTurn(lane);
    lane.startTag += (item.options.cost ?? defaultCost) / lane.weight;
    this.discard(item);
    this.moveGroup(item.group, {inHand: true});
    if (lane.position !== -1) this.active.update(lane);
    return item.run;
  }

  /** Returns what the next task was enqueued with. */
  peek(): FairQueueOptions | undefined {
    return this.findNext()?.options;
  }

  /** Removes a task; one that is not queued is ignored. */
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

  /** Moves a task before those of its team with a lower priority. */
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
    this.active.update(lane);
  }

  /** Changes a team's share from its next task on. The weight must be above 0. */
  setWeight(team: TeamName, weight: number): void {
    assertInvariant(weight > 0, `team "${team}" has the weight ${weight}`);
    this.openLane({team}).weight = weight;
  }

  /** Counts the tasks of one team that wait. */
  countWaiting(team: TeamName): number {
    return this.lanes.get(team)?.size ?? 0;
  }

  /**
   * Computes the part of the service that a team can count on: what it was given
   * lately while it waited, and no less than its weight among those of the teams
   * that wait or were served lately. Between 0 and 1.
   */
  computeShare(team: TeamName, weight: number): number {
    const oldest = this.turns - recentTurns;
    let sum = weight;
    for (const lane of this.lanes.values()) {
      const isActive = lane.size > 0 || lane.lastTurn >= oldest;
      if (isActive && lane.team !== team) sum += lane.weight;
    }
    const {served = 0, passed = 0} = this.lanes.get(team) ?? {};
    const given = passed < minPassedTurns ? 0 : served / passed;
    return Math.max(given, weight / sum);
  }

  /** Forgets teams that are no longer configured and have no tasks waiting. */
  pruneTeams(configured: ReadonlySet<TeamName>): void {
    for (const [team, lane] of this.lanes) {
      if (lane.size === 0 && !configured.has(team)) this.lanes.delete(team);
    }
  }

  private countTurn(lane: Lane): void {
    this.turns++;
    const turns = this.turns - lane.waitingTurn;
    const kept = 2 ** (-turns / recentTurns);
    lane.served = lane.served * kept + 1;
    lane.passed = lane.passed * kept + turns;
    lane.waitingTurn = this.turns;
    lane.lastTurn = this.turns;
  }

  private findNext(): Item | undefined {
    const group = this.active.peek()?.groups.peek();
    if (group === undefined) return undefined;
    while (group.items[group.head]!.removed) group.head++;
    return group.items[group.head];
  }

  private openLane({team = '', weight}: Partial<FairQueueOptions>): Lane {
    const known = this.lanes.get(team);
    if (known !== undefined) {
      if (weight !== undefined) this.setWeight(team, weight);
      return known;
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

  private openGroup(
    lane: Lane,
    id: string,
    {job, priority = 0, deadline = Infinity}: Partial<FairQueueOptions>,
  ): Group {
    const key =
      job === undefined ? `task ${priority} ${id}` : `job ${priority} ${job}`;
    const known = lane.byKey.get(key);
    if (known !== undefined) return known;
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

  private moveGroup(
    group: Group,
    {inHand = false, deadline = Infinity}: Partial<FairQueueOptions>,
  ): void {
    group.inHand ||= inHand;
    group.deadline = Math.min(group.deadline, deadline);
    if (group.position !== -1) group.lane.groups.update(group);
  }

  private insertLane(lane: Lane): void {
    lane.startTag = Math.max(lane.startTag, this.virtualTime);
    lane.waitingTurn = this.turns;
    this.active.push(lane);
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
    if (lane.size === 0) this.active.remove(lane);
  }
}

/** Creates the class that p-queue constructs: it hands out the given queue. */
export function createFairQueueClass(queue: FairQueue): new () => FairQueue {
  return class extends FairQueue {
    constructor() {
      super();
      return queue;
    }
  };
}

function compareLanes(one: Lane, other: Lane): number {
  return one.startTag - other.startTag;
}

/** Higher priority, then work in hand, then the earlier deadline, then the older. */
function compareGroups(one: Group, other: Group): number {
  if (one.priority !== other.priority) return other.priority - one.priority;
  if (one.inHand !== other.inHand) return one.inHand ? -1 : 1;
  if (one.deadline !== other.deadline) return one.deadline - other.deadline;
  return one.order - other.order;
}
