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
  readonly isJobStarted?: boolean;
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
  readonly teamQueue: TeamQueue;
  readonly priority: number;
  readonly order: number;
  readonly items: Item[];
  deadline: Instant;
  isJobStarted: boolean;
  head: number;
  size: number;
}

/** The queue of one team. */
interface TeamQueue extends HeapElement {
  readonly team: TeamName;
  readonly groups: Heap<Group>;
  readonly byKey: Map<string, Group>;
  weight: number;
  /** Virtual time at which the next task of the team starts. */
  startTag: number;
  size: number;
  /** Turn in which the team was last served. A turn is one dequeued task of any team. */
  lastTurn: number;
  /** Turns in which the team was served, decaying by half in `recentTurns` turns. */
  servedTurns: number;
  /** All turns in which the team waited or was served, decaying like `servedTurns`. */
  waitedTurns: number;
  /** Turn since which the team has waited to be served. */
  waitingSinceTurn: number;
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
  private readonly teamQueues = new Map<TeamName, TeamQueue>();
  private readonly activeTeamQueues = new Heap<TeamQueue>(compareTeamQueues);
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
    const teamQueue = this.getOrCreateTeamQueue(options);
    const group = this.getOrCreateGroup(teamQueue, id, options);
    const item = {run, options: {...options, id}, group, removed: false};
    this.items.set(id, item);
    group.items.push(item);
    group.size++;
    teamQueue.size++;
    this.updateGroup(group, options);
    if (teamQueue.position === -1) this.addActiveTeamQueue(teamQueue);
  }

  /** Removes and returns the next task; `undefined` when none waits. */
  dequeue(): RunFunction | undefined {
    const item = this.findNext();
    if (item === undefined) return undefined;
    const {teamQueue} = item.group;
    this.virtualTime = teamQueue.startTag;
    this.recordTurn(teamQueue);
    teamQueue.startTag += (item.options.cost ?? defaultCost) / teamQueue.weight;
    this.discard(item);
    this.updateGroup(item.group, {isJobStarted: true});
    if (teamQueue.position !== -1) this.activeTeamQueues.update(teamQueue);
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
          (team === undefined || group.teamQueue.team === team) &&
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
    const {isJobStarted, teamQueue} = item.group;
    const startTag = teamQueue.startTag;
    this.discard(item);
    this.enqueue(item.run, {...item.options, priority, isJobStarted});
    teamQueue.startTag = startTag;
    this.activeTeamQueues.update(teamQueue);
  }

  /** Changes a team's weight from its next task on. The weight must be positive. */
  setWeight(team: TeamName, weight: number): void {
    assertInvariant(
      weight > 0,
      `weight of team "${team}" must be positive, but is ${weight}`,
    );
    this.getOrCreateTeamQueue({team}).weight = weight;
  }

  /** Counts the waiting tasks of a team. */
  countWaiting(team: TeamName): number {
    return this.teamQueues.get(team)?.size ?? 0;
  }

  /**
   * Computes the share of the service, from 0 to 1, that a team can count on: the
   * share it recently received while it waited, but at least its weight over the
   * weights of all teams that wait or were recently served.
   */
  computeShare(team: TeamName, weight: number): number {
    const oldestRecentTurn = this.turns - recentTurns;
    let weightSum = weight;
    for (const teamQueue of this.teamQueues.values()) {
      const isActive =
        teamQueue.size > 0 || teamQueue.lastTurn >= oldestRecentTurn;
      if (isActive && teamQueue.team !== team) weightSum += teamQueue.weight;
    }
    const {servedTurns = 0, waitedTurns = 0} = this.teamQueues.get(team) ?? {};
    const receivedShare =
      waitedTurns < minMeasuredTurns ? 0 : servedTurns / waitedTurns;
    return Math.max(receivedShare, weight / weightSum);
  }

  /** Removes teams that are no longer configured and have no waiting tasks. */
  pruneTeams(configured: ReadonlySet<TeamName>): void {
    for (const [team, teamQueue] of this.teamQueues) {
      if (teamQueue.size === 0 && !configured.has(team))
        this.teamQueues.delete(team);
    }
  }

  private recordTurn(teamQueue: TeamQueue): void {
    this.turns++;
    const elapsedTurns = this.turns - teamQueue.waitingSinceTurn;
    const decay = 2 ** (-elapsedTurns / recentTurns);
    teamQueue.servedTurns = teamQueue.servedTurns * decay + 1;
    teamQueue.waitedTurns = teamQueue.waitedTurns * decay + elapsedTurns;
    teamQueue.waitingSinceTurn = this.turns;
    teamQueue.lastTurn = this.turns;
  }

  private findNext(): Item | undefined {
    const group = this.activeTeamQueues.peek()?.groups.peek();
    if (group === undefined) return undefined;
    while (group.items[group.head]!.removed) group.head++;
    return group.items[group.head];
  }

  private getOrCreateTeamQueue({
    team = '',
    weight,
  }: Partial<FairQueueOptions>): TeamQueue {
    const existing = this.teamQueues.get(team);
    if (existing !== undefined) {
      if (weight !== undefined) this.setWeight(team, weight);
      return existing;
    }
    const teamQueue: TeamQueue = {
      team,
      groups: new Heap(compareGroups),
      byKey: new Map(),
      weight: defaultWeight,
      startTag: this.virtualTime,
      size: 0,
      lastTurn: -Infinity,
      servedTurns: 0,
      waitedTurns: 0,
      waitingSinceTurn: 0,
      position: -1,
    };
    this.teamQueues.set(team, teamQueue);
    if (weight !== undefined) this.setWeight(team, weight);
    return teamQueue;
  }

  private getOrCreateGroup(
    teamQueue: TeamQueue,
    id: string,
    {job, priority = 0, deadline = Infinity}: Partial<FairQueueOptions>,
  ): Group {
    const key =
      job === undefined ? `task ${priority} ${id}` : `job ${priority} ${job}`;
    const existing = teamQueue.byKey.get(key);
    if (existing !== undefined) return existing;
    const group: Group = {
      key,
      teamQueue,
      priority,
      order: this.nextOrder++,
      items: [],
      deadline,
      isJobStarted: false,
      head: 0,
      size: 0,
      position: -1,
    };
    teamQueue.byKey.set(key, group);
    teamQueue.groups.push(group);
    return group;
  }

  private updateGroup(
    group: Group,
    {isJobStarted = false, deadline = Infinity}: Partial<FairQueueOptions>,
  ): void {
    group.isJobStarted ||= isJobStarted;
    group.deadline = Math.min(group.deadline, deadline);
    if (group.position !== -1) group.teamQueue.groups.update(group);
  }

  private addActiveTeamQueue(teamQueue: TeamQueue): void {
    teamQueue.startTag = Math.max(teamQueue.startTag, this.virtualTime);
    teamQueue.waitingSinceTurn = this.turns;
    this.activeTeamQueues.push(teamQueue);
  }

  private discard(item: Item): void {
    const {group} = item;
    const {teamQueue} = group;
    item.removed = true;
    this.items.delete(item.options.id!);
    group.size--;
    teamQueue.size--;
    if (group.size === 0) {
      teamQueue.byKey.delete(group.key);
      teamQueue.groups.remove(group);
    }
    if (teamQueue.size === 0) this.activeTeamQueues.remove(teamQueue);
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

function compareTeamQueues(a: TeamQueue, b: TeamQueue): number {
  return a.startTag - b.startTag;
}

/** Orders by higher priority, then jobs that have started tasks, then earlier deadline, then age. */
function compareGroups(a: Group, b: Group): number {
  if (a.priority !== b.priority) return b.priority - a.priority;
  if (a.isJobStarted !== b.isJobStarted) return a.isJobStarted ? -1 : 1;
  if (a.deadline !== b.deadline) return a.deadline - b.deadline;
  return a.order - b.order;
}
