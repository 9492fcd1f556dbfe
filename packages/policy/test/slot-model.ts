import type {Epoch} from '#model';
import {
  connectHolder,
  countRunning,
  createGrants,
  createRandom,
  divideSlots,
  type Placement,
  type PlacementAction,
  type RandomSource,
  releaseSlots,
  reserveSlots,
  returnSlot,
  type SlotGrants,
  takeSlot,
  updateDemand,
  updateDrainRate,
} from '#policy';
import {Heap, type HeapElement} from '../src/heap.js';
import {
  createEntry,
  isRefused,
  type ModelEntry,
  type ModelJob,
  type ModelResult,
  type ModelSetup,
  type ModelTask,
  service,
} from './model-entry.js';

interface ModelEvent extends HeapElement {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

interface ModelAgent {
  readonly target: string;
  readonly runTimeFactor: number;
  grants: SlotGrants;
  readonly backlog: (() => void)[];
  nextDivisionAt: number;
}

const noop = async () => {};

/** Discrete-event simulation of entries, agents and the messages between them. */
export class SlotModel {
  private now = 0;
  private order = 0;
  private readonly events = new Heap<ModelEvent>(
    (one, other) => one.at - other.at || one.order - other.order,
  );
  private readonly random: RandomSource;
  private readonly entries: readonly ModelEntry[];
  private readonly agents: readonly ModelAgent[];
  private readonly ratios: number[] = [];
  private nextTask = 0;
  private lastEndAt = 0;
  private messages = 0;
  private readonly messageKinds = new Map<string, number>();
  private refusals = 0;
  private inTimeWorkMs = 0;
  private late = 0;
  private readonly inTime = new Map<string, number>();
  private readonly jobRefusals = new Map<string, number>();

  constructor(private readonly setup: ModelSetup) {
    this.random = createRandom(setup.seed);
    this.entries = Array.from({length: setup.entries}, (_, i) =>
      createEntry(setup, i + 1),
    );
    const mode = setup.policy.kind === 'credit' ? 'ahead' : 'on-reservation';
    this.agents = setup.runTimeFactors.map((runTimeFactor, i) => ({
      target: `t${i}`,
      runTimeFactor,
      grants: createGrants(setup.slotsPerAgent, mode),
      backlog: [],
      nextDivisionAt: Infinity,
    }));
  }

  run(): ModelResult {
    for (const agent of this.agents) {
      for (const entry of this.entries) this.connect(agent, entry);
    }
    this.planArrivals();
    for (;;) {
      const event = this.events.peek();
      if (event === undefined) break;
      this.events.remove(event);
      this.now = event.at;
      event.run();
    }
    const sorted = [...this.ratios].sort((one, other) => one - other);
    const getQuantile = (share: number) =>
      sorted[Math.floor(share * (sorted.length - 1))]!;
    return {
      meanRatio: sorted.reduce((sum, one) => sum + one, 0) / sorted.length,
      p50Ratio: getQuantile(0.5),
      p99Ratio: getQuantile(0.99),
      messagesPerJob: this.messages / this.setup.jobs,
      completed: sorted.length,
      refusals: this.refusals,
      messageKinds: this.messageKinds,
      goodput: this.inTimeWorkMs / this.lastEndAt,
      inTime: this.inTime,
      jobRefusals: this.jobRefusals,
      late: this.late,
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
    const {runTimeFactors, slotsPerAgent, load, jobs, maxTasksPerJob} =
      this.setup;
    const workPerMs = runTimeFactors.reduce(
      (sum, one) => sum + slotsPerAgent / one,
      0,
    );
    const tasksPerJob = (1 + maxTasksPerJob) / 2;
    const gapMs = (meanWorkMs * tasksPerJob) / (workPerMs * load);
    let at = 100;
    for (let i = 0; i < jobs; i++) {
      at -= gapMs * Math.log(1 - this.random.drawFloat());
      const count = 1 + this.random.drawInt(maxTasksPerJob);
      const taskWorkMs = Array.from({length: count}, () => this.drawWork());
      const deadline = at + (this.setup.deadlineMs ?? Infinity);
      const team = this.drawTeam();
      const job = {
        id: `${i}`,
        team,
        arrivedAt: at,
        deadline,
        taskWorkMs,
        left: count,
      };
      const entry = this.entries[this.random.drawInt(this.entries.length)]!;
      this.schedule(at, () => this.submit(entry, job));
    }
  }

  /** Draws a work time of 50 ms to 1 s, skewed towards short ones. */
  private drawWork(): number {
    return 50 * 20 ** (this.random.drawFloat() ** 2);
  }

  private drawTeam(): string {
    const rates = this.setup.teamRates ?? [1];
    let rest =
      this.random.drawFloat() * rates.reduce((sum, rate) => sum + rate, 0);
    return `${rates.findIndex(rate => (rest -= rate) < 0)}`;
  }

  private submit(entry: ModelEntry, job: ModelJob): void {
    if (isRefused(entry, job, this.now)) {
      addOne(this.jobRefusals, job.team);
      return;
    }
    if (job.deadline < Infinity) {
      this.schedule(job.deadline, () => this.expire(entry, job));
    }
    for (const workMs of job.taskWorkMs) this.enqueue(entry, {job, workMs});
    this.placeAll(entry);
  }

  private expire(entry: ModelEntry, job: ModelJob): void {
    if (job.left === 0) return;
    this.late++;
    for (const [id, task] of entry.tasks) {
      if (task.job !== job) continue;
      entry.queue.remove(id);
      entry.tasks.delete(id);
    }
  }

  private enqueue(entry: ModelEntry, task: ModelTask): void {
    const id = `${this.nextTask++}`;
    entry.tasks.set(id, task);
    const {id: job, team, deadline, arrivedAt} = task.job;
    const due = Math.min(deadline, arrivedAt + 1e6);
    entry.queue.enqueue(noop, {id, job, team, deadline: due});
  }

  private placeAll(entry: ModelEntry): void {
    const starts = new Map<string, [ModelTask, boolean][]>();
    const before = entry.queue.size;
    while (entry.queue.size > 0) {
      const {deadline} = entry.queue.peek()!;
      const tasks = {waiting: entry.queue.size, deadline: deadline!};
      const decision = entry.placement.place(tasks, this.now);
      if (decision.kind === 'wait') {
        this.scheduleWake(entry, decision.until);
        break;
      }
      const id = entry.queue.peek()!.id!;
      entry.queue.dequeue();
      const {target, granted} = decision;
      const batch = starts.get(target) ?? [];
      starts.set(target, [...batch, [entry.tasks.get(id)!, granted]]);
      entry.tasks.delete(id);
    }
    const waiting = entry.placement.reportWaiting(entry.queue.size, this.now);
    entry.running += before - entry.queue.size;
    entry.drainRate = updateDrainRate(
      entry.drainRate,
      before - entry.queue.size,
      entry.queue.size,
      this.now,
    );
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
    addOne(this.messageKinds, kind);
  }

  private scheduleWake(entry: ModelEntry, until: number): void {
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
        agent.grants = this.applyAction(agent.grants, entry.epoch, action);
        this.divide(agent);
      });
    }
  }

  private applyAction(
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
      const runMs = task.workMs * agent.runTimeFactor;
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
    entry.running--;
    entry.placement.apply({kind: 'task-ended', target}, this.now);
    if (slots === 0) return;
    entry.placement.apply({kind: 'slots-granted', target, slots}, this.now);
  }

  private completeTask(job: ModelJob): void {
    job.left--;
    if (job.left > 0 || this.now > job.deadline) return;
    this.lastEndAt = this.now;
    this.inTimeWorkMs += job.taskWorkMs.reduce((sum, one) => sum + one, 0);
    addOne(this.inTime, job.team);
    const {oneWayMs, runTimeFactors} = this.setup;
    const idealMs =
      Math.max(...job.taskWorkMs) * Math.min(...runTimeFactors) + 2 * oneWayMs;
    this.ratios.push((this.now - job.arrivedAt) / idealMs);
  }

  /** Sends grants and recalls; returns the slots granted in the report to `previousUser`. */
  private divide(agent: ModelAgent, previousUser?: Epoch): number {
    const division = divideSlots(agent.grants, this.now, previousUser);
    agent.grants = division.grants;
    if (countRunning(agent.grants) > this.setup.slotsPerAgent) {
      throw new Error(`${agent.target} runs more tasks than it has slots`);
    }
    const {target} = agent;
    for (const [epoch, slots] of division.granted) {
      if (epoch === previousUser) continue;
      this.notify(epoch, {kind: 'slots-granted', target, slots});
    }
    for (const [epoch, slots] of division.recalled) {
      this.notify(epoch, {kind: 'slots-recalled', target, slots});
    }
    if (
      division.nextDivisionAt < Infinity &&
      agent.nextDivisionAt !== division.nextDivisionAt
    ) {
      agent.nextDivisionAt = division.nextDivisionAt;
      this.schedule(division.nextDivisionAt, () => this.divide(agent));
    }
    return division.granted.get(previousUser ?? -1) ?? 0;
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
    this.events.push({at, order: this.order++, run, position: -1});
  }
}

/** Mean of `drawWork`, by numerical integration. */
const meanWorkMs = Array.from(
  {length: 1000},
  (_, i) => 50 * 20 ** (((i + 0.5) / 1000) ** 2),
).reduce((sum, one) => sum + one / 1000, 0);

function addOne(counts: Map<string, number>, key: string): void {
  counts.set(key, (counts.get(key) ?? 0) + 1);
}
