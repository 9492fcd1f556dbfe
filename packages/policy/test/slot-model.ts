import type {Epoch, PlacementPolicy} from '#model';
import {
  connectHolder,
  countRunning,
  createGrants,
  createPlacement,
  createRandom,
  divideSlots,
  FairQueue,
  type Placement,
  type PlacementAction,
  type RandomSource,
  releaseSlots,
  reserveSlots,
  returnSlot,
  RunTimes,
  type SlotGrants,
  takeSlot,
  updateDemand,
} from '#policy';

/** One set-up of the model; times in ms. */
export interface ModelSetup {
  readonly policy: PlacementPolicy;
  readonly entries: number;
  /** Run time factor of each agent. */
  readonly speeds: readonly number[];
  readonly slotsPerAgent: number;
  /** Of the slots' capacity, the share that arriving tasks need. */
  readonly load: number;
  readonly jobs: number;
  readonly maxTasksPerJob: number;
  readonly oneWayMs: number;
  readonly seed: number;
}

export interface ModelScore {
  /** Response time over that on idle targets of the fastest kind. */
  readonly meanRatio: number;
  readonly p50Ratio: number;
  readonly p99Ratio: number;
  readonly messagesPerJob: number;
  readonly completed: number;
  readonly refusals: number;
  readonly messageKinds: ReadonlyMap<string, number>;
}

interface ModelJob {
  readonly arrivedAt: number;
  readonly works: readonly number[];
  left: number;
}

interface ModelTask {
  readonly job: ModelJob;
  readonly workMs: number;
}

interface ModelEntry {
  readonly epoch: Epoch;
  readonly queue: FairQueue;
  readonly tasks: Map<string, ModelTask>;
  readonly placement: Placement;
  readonly runTimes: RunTimes;
  wakeAt: number;
}

interface ModelAgent {
  readonly target: string;
  readonly speed: number;
  grants: SlotGrants;
  readonly backlog: (() => void)[];
  againAt: number;
}

const noop = async () => {};
const service = 's';

/** Entries, agents and the messages between them, on a clock of its own. */
export class SlotModel {
  private now = 0;
  private order = 0;
  private readonly events: {at: number; order: number; run: () => void}[] = [];
  private readonly random: RandomSource;
  private readonly entries: readonly ModelEntry[];
  private readonly agents: readonly ModelAgent[];
  private readonly ratios: number[] = [];
  private nextTask = 0;
  private messages = 0;
  private readonly messageKinds = new Map<string, number>();
  private refusals = 0;

  constructor(private readonly setup: ModelSetup) {
    this.random = createRandom(setup.seed);
    this.entries = Array.from({length: setup.entries}, (_, i) =>
      this.createEntry(i + 1),
    );
    const mode = setup.policy.kind === 'credit' ? 'ahead' : 'on-reservation';
    this.agents = setup.speeds.map((speed, i) => ({
      target: `t${i}`,
      speed,
      grants: createGrants(setup.slotsPerAgent, mode),
      backlog: [],
      againAt: Infinity,
    }));
  }

  run(): ModelScore {
    for (const agent of this.agents) {
      for (const entry of this.entries) this.connect(agent, entry);
    }
    this.planArrivals();
    while (this.events.length > 0) {
      const event = this.popEvent();
      this.now = event.at;
      event.run();
    }
    const sorted = [...this.ratios].sort((one, other) => one - other);
    const rank = (share: number) =>
      sorted[Math.floor(share * (sorted.length - 1))]!;
    return {
      meanRatio: sorted.reduce((sum, one) => sum + one, 0) / sorted.length,
      p50Ratio: rank(0.5),
      p99Ratio: rank(0.99),
      messagesPerJob: this.messages / this.setup.jobs,
      completed: sorted.length,
      refusals: this.refusals,
      messageKinds: this.messageKinds,
    };
  }

  private createEntry(epoch: Epoch): ModelEntry {
    const {policy, seed} = this.setup;
    const runTimes = new RunTimes();
    const random = createRandom(seed + epoch);
    return {
      epoch,
      queue: new FairQueue(),
      tasks: new Map(),
      placement: createPlacement(policy, {service, runTimes, random}),
      runTimes,
      wakeAt: Infinity,
    };
  }

  private connect(agent: ModelAgent, entry: ModelEntry): void {
    const {slotsPerAgent} = this.setup;
    entry.placement.apply(
      {kind: 'target-connected', target: agent.target, slots: slotsPerAgent},
      this.now,
    );
    agent.grants = connectHolder(agent.grants, entry.epoch, this.now);
    this.divide(agent);
  }

  private planArrivals(): void {
    const {speeds, slotsPerAgent, load, jobs, maxTasksPerJob} = this.setup;
    const perMs = speeds.reduce((sum, one) => sum + slotsPerAgent / one, 0);
    const tasksPerJob = (1 + maxTasksPerJob) / 2;
    const gapMs = (meanWorkMs * tasksPerJob) / (perMs * load);
    let at = 100;
    for (let i = 0; i < jobs; i++) {
      at -= gapMs * Math.log(1 - this.random.drawFloat());
      const count = 1 + this.random.drawInt(maxTasksPerJob);
      const works = Array.from({length: count}, () => this.drawWork());
      const job = {arrivedAt: at, works, left: count};
      const entry = this.entries[this.random.drawInt(this.entries.length)]!;
      this.schedule(at, () => this.submit(entry, job));
    }
  }

  /** 50 ms to a second, most of them short. */
  private drawWork(): number {
    return 50 * 20 ** (this.random.drawFloat() ** 2);
  }

  private submit(entry: ModelEntry, job: ModelJob): void {
    for (const workMs of job.works) this.enqueue(entry, {job, workMs});
    this.placeAll(entry);
  }

  private enqueue(entry: ModelEntry, task: ModelTask): void {
    const id = `${this.nextTask++}`;
    entry.tasks.set(id, task);
    const {arrivedAt: deadline} = task.job;
    entry.queue.enqueue(noop, {id, job: `${deadline}`, deadline});
  }

  private placeAll(entry: ModelEntry): void {
    const starts = new Map<string, [ModelTask, boolean][]>();
    while (entry.queue.size > 0) {
      const tasks = {waiting: entry.queue.size, deadline: Infinity};
      const verdict = entry.placement.place(tasks, this.now);
      if (verdict.kind === 'wait') {
        this.wake(entry, verdict.until);
        break;
      }
      const id = entry.queue.peek()!.id!;
      entry.queue.dequeue();
      const {target, granted} = verdict;
      const batch = starts.get(target) ?? [];
      starts.set(target, [...batch, [entry.tasks.get(id)!, granted]]);
      entry.tasks.delete(id);
    }
    const waiting = entry.placement.tellWaiting(entry.queue.size, this.now);
    for (const [target, batch] of starts) {
      this.sendStarts(entry, this.findAgent(target), batch, waiting);
    }
    this.send(entry, entry.placement.settle(entry.queue.size, this.now));
  }

  private sendStarts(
    entry: ModelEntry,
    agent: ModelAgent,
    batch: readonly [ModelTask, boolean][],
    waiting: number,
  ): void {
    this.count('start');
    this.schedule(this.now + this.setup.oneWayMs, () => {
      agent.grants = updateDemand(agent.grants, entry.epoch, waiting, this.now);
      for (const [task, granted] of batch) {
        this.receiveStart(agent, entry, task, granted);
      }
      this.divide(agent);
    });
  }

  private count(kind: string): void {
    this.messages++;
    this.messageKinds.set(kind, (this.messageKinds.get(kind) ?? 0) + 1);
  }

  private wake(entry: ModelEntry, until: number): void {
    const at = Math.max(until, this.now + 1);
    if (at === Infinity || (entry.wakeAt > this.now && entry.wakeAt <= at)) {
      return;
    }
    entry.wakeAt = at;
    this.schedule(at, () => this.placeAll(entry));
  }

  private send(entry: ModelEntry, actions: readonly PlacementAction[]): void {
    for (const action of actions) {
      const agent = this.findAgent(action.target);
      this.count(action.kind);
      this.schedule(this.now + this.setup.oneWayMs, () => {
        agent.grants = this.takeAction(agent.grants, entry.epoch, action);
        this.divide(agent);
      });
    }
  }

  private takeAction(
    grants: SlotGrants,
    epoch: Epoch,
    action: PlacementAction,
  ): SlotGrants {
    switch (action.kind) {
      case 'reserve':
        return reserveSlots(grants, epoch, action.slots);
      case 'release':
        return releaseSlots(grants, epoch, action.slots);
      case 'demand':
        return updateDemand(grants, epoch, action.waiting, this.now);
    }
  }

  private receiveStart(
    agent: ModelAgent,
    entry: ModelEntry,
    task: ModelTask,
    granted: boolean,
  ): void {
    const taken = takeSlot(agent.grants, entry.epoch, granted);
    if (taken !== undefined) {
      agent.grants = taken;
      const runMs = task.workMs * agent.speed;
      this.schedule(this.now + runMs, () =>
        this.end(agent, entry, task, runMs),
      );
    } else if (!granted && agent.backlog.length < this.setup.slotsPerAgent) {
      agent.backlog.push(() => this.receiveStart(agent, entry, task, granted));
    } else {
      this.refusals++;
      this.count('refusal');
      this.schedule(this.now + 2 * this.setup.oneWayMs, () => {
        this.endTask(entry, agent, 0);
        this.enqueue(entry, task);
        this.placeAll(entry);
      });
    }
  }

  private end(
    agent: ModelAgent,
    entry: ModelEntry,
    task: ModelTask,
    runMs: number,
  ): void {
    agent.grants = returnSlot(agent.grants, entry.epoch);
    agent.backlog.shift()?.();
    const slots = this.divide(agent, entry.epoch);
    this.count('report');
    this.schedule(this.now + this.setup.oneWayMs, () => {
      entry.runTimes.observe(service, agent.target, runMs, undefined, this.now);
      this.endTask(entry, agent, slots);
      this.completeTask(task.job);
      this.placeAll(entry);
    });
  }

  private endTask(entry: ModelEntry, agent: ModelAgent, slots: number): void {
    const {target} = agent;
    entry.placement.apply({kind: 'task-ended', target}, this.now);
    if (slots === 0) return;
    entry.placement.apply({kind: 'slots-granted', target, slots}, this.now);
  }

  private completeTask(job: ModelJob): void {
    job.left--;
    if (job.left > 0) return;
    const {oneWayMs, speeds} = this.setup;
    const ideal = Math.max(...job.works) * Math.min(...speeds) + 2 * oneWayMs;
    this.ratios.push((this.now - job.arrivedAt) / ideal);
  }

  /** Sends grants and recalls; returns the slots that the report to `ender` carries. */
  private divide(agent: ModelAgent, ender?: Epoch): number {
    const division = divideSlots(agent.grants, this.now, ender);
    agent.grants = division.grants;
    if (countRunning(agent.grants) > this.setup.slotsPerAgent) {
      throw new Error(`${agent.target} runs more than its slots`);
    }
    const {target} = agent;
    for (const [epoch, slots] of division.granted) {
      if (epoch === ender) continue;
      this.notify(epoch, {kind: 'slots-granted', target, slots});
    }
    for (const [epoch, slots] of division.recalled) {
      this.notify(epoch, {kind: 'slots-recalled', target, slots});
    }
    if (division.againAt < Infinity && agent.againAt !== division.againAt) {
      agent.againAt = division.againAt;
      this.schedule(division.againAt, () => this.divide(agent));
    }
    return division.granted.get(ender ?? -1) ?? 0;
  }

  private notify(epoch: Epoch, event: Parameters<Placement['apply']>[0]): void {
    const entry = this.entries[epoch - 1]!;
    this.count(event.kind);
    this.schedule(this.now + this.setup.oneWayMs, () => {
      this.send(entry, entry.placement.apply(event, this.now));
      this.placeAll(entry);
    });
  }

  private findAgent(target: string): ModelAgent {
    return this.agents[Number(target.slice(1))]!;
  }

  private schedule(at: number, run: () => void): void {
    const event = {at, order: this.order++, run};
    let position = this.events.push(event) - 1;
    while (position > 0) {
      const parent = (position - 1) >> 1;
      if (!isBefore(event, this.events[parent]!)) break;
      this.events[position] = this.events[parent]!;
      position = parent;
    }
    this.events[position] = event;
  }

  private popEvent() {
    const first = this.events[0]!;
    const last = this.events.pop()!;
    if (this.events.length === 0) return first;
    let position = 0;
    for (;;) {
      let child = 2 * position + 1;
      if (child >= this.events.length) break;
      const right = this.events[child + 1];
      if (right !== undefined && isBefore(right, this.events[child]!)) {
        child++;
      }
      if (!isBefore(this.events[child]!, last)) break;
      this.events[position] = this.events[child]!;
      position = child;
    }
    this.events[position] = last;
    return first;
  }
}

/** The mean of `drawWork`, by integration. */
const meanWorkMs = Array.from(
  {length: 1000},
  (_, i) => 50 * 20 ** (((i + 0.5) / 1000) ** 2),
).reduce((sum, one) => sum + one / 1000, 0);

function isBefore(
  one: {at: number; order: number},
  other: {at: number; order: number},
): boolean {
  return one.at < other.at || (one.at === other.at && one.order < other.order);
}
