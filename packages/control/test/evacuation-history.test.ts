import test from 'ava';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {applyUpdate, type Command, emptyView, type View} from '#membership';
import type {WatchParams} from '#protocol';
import {ControlMachine} from '../src/state-machine.js';

const seeds = 200;
const stepsPerHistory = 400;
const domains = ['a', 'b', 'c'] as const;
const topics = ['all', 'configuration', 'targets'] as const;

type Order = Extract<Command, {readonly kind: 'set-evacuation'}>;

/** The operator of one domain, who repeats an order until it is acknowledged and then gives the opposite one. */
interface Operator {
  readonly domain: string;
  order: Order;
  /** The acknowledged order, until the next one is given. */
  settled: Order | undefined;
}

interface Watcher {
  readonly topics: WatchParams['topics'];
  view: View;
}

/** A committed log, replicas that apply it at their own pace, operators, and watchers that move between replicas. */
class History {
  private readonly random;
  private nextChange = 0;
  private readonly log: Command[] = [];
  /** The evacuated domains after each index. */
  private readonly evacuated: string[] = [''];
  private readonly replicas = [1, 2, 3].map(() => ({
    machine: new ControlMachine(() => {}),
    applied: 0,
  }));
  private readonly first = this.replicas[0]!;
  /** Orders under way that may still be committed, also after they were acknowledged. */
  private readonly late: Order[] = [];
  private readonly operators: Operator[] = domains.map(domain => ({
    domain,
    order: this.createOrder(domain, true),
    settled: undefined,
  }));
  private readonly watchers: Watcher[] = topics.map(topic => ({
    topics: topic,
    view: emptyView,
  }));

  constructor(
    seed: number,
    private readonly fail: (detail: string) => void,
  ) {
    this.random = xoroshiro128plus(seed);
  }

  run(): void {
    for (let step = 0; step < stepsPerHistory; step++) {
      this.takeStep();
      this.checkOperators();
    }
    for (const watcher of this.watchers) {
      this.update(watcher, this.first);
      const latest = this.evacuated.at(-1)!;
      this.check(
        describe(watcher.view) === latest,
        'a watcher lags at the end',
      );
    }
  }

  private takeStep(): void {
    const steps = [
      () => this.sendOrder(this.pick(this.operators)),
      () => this.sendOrder(this.pick(this.operators)),
      () => this.commitLate(),
      () => this.commit({kind: 'forget', time: 0}),
      () => this.advance(this.pick(this.replicas)),
      () => this.advance(this.pick(this.replicas)),
      () => this.restart(this.pick(this.replicas)),
      () => this.update(this.pick(this.watchers), this.pick(this.replicas)),
      () => this.update(this.pick(this.watchers), this.pick(this.replicas)),
      () => (this.pick(this.watchers).view = emptyView),
    ];
    this.pick(steps)();
  }

  /** Sends an order, which may be lost, committed without an answer, or acknowledged; copies may arrive later. */
  private sendOrder(operator: Operator): void {
    if (operator.settled !== undefined) {
      operator.settled = undefined;
      const {domain, evacuated} = operator.order;
      operator.order = this.createOrder(domain, !evacuated);
    }
    const {order} = operator;
    if (this.draw(0, 2) === 0) this.late.push(order);
    const fate = this.draw(0, 3);
    if (fate === 0) return;
    this.commit(order);
    if (fate > 1) operator.settled = order;
  }

  private commitLate(): void {
    const [order] = this.late.splice(this.draw(0, this.late.length), 1);
    if (order !== undefined) this.commit(order);
  }

  private commit(command: Command): void {
    this.log.push(command);
    this.advance(this.first);
    const {evacuated} = this.first.machine.state.evacuations;
    this.evacuated.push([...evacuated].sort().join());
  }

  private advance(replica: (typeof this.replicas)[number]): void {
    const behind = this.log.length - replica.applied;
    const count = replica === this.first ? behind : this.draw(0, behind);
    const commands = this.log.slice(replica.applied, replica.applied + count);
    replica.machine.apply(
      commands.map((command, i) => ({
        index: replica.applied + i + 1,
        term: 1,
        command,
      })),
    );
    replica.applied += count;
  }

  /** Restarts a replica from its own snapshot, or from one of the first replica. */
  private restart(replica: (typeof this.replicas)[number]): void {
    const from = this.draw(0, 1) === 0 ? replica : this.first;
    const snapshot = from.machine.takeSnapshot();
    replica.machine.reset();
    replica.machine.restoreSnapshot(snapshot, from.applied);
    replica.applied = from.applied;
  }

  private update(
    watcher: Watcher,
    {machine, applied}: (typeof this.replicas)[number],
  ): void {
    const {revision} = watcher.view;
    if (applied < revision || applied === 0) return;
    const result = applyUpdate(
      watcher.view,
      machine.buildUpdate(revision, watcher.topics),
    );
    if (result.kind !== 'applied') {
      this.fail(`a watcher of ${watcher.topics} was sent a ${result.kind}`);
      return;
    }
    watcher.view = result.view;
    this.check(
      describe(result.view) === this.evacuated[result.view.revision],
      `a watcher of ${watcher.topics} differs from the log at ${result.view.revision}`,
    );
  }

  private checkOperators(): void {
    const {evacuated} = this.first.machine.state.evacuations;
    for (const {domain, settled} of this.operators) {
      if (settled === undefined) continue;
      this.check(
        evacuated.has(domain) === settled.evacuated,
        `the acknowledged order for ${domain} is not in force`,
      );
    }
  }

  private check(holds: boolean, detail: string): void {
    if (!holds) this.fail(detail);
  }

  private createOrder(domain: string, evacuated: boolean): Order {
    const changeId = `change ${++this.nextChange}`;
    return {kind: 'set-evacuation', time: 0, domain, evacuated, changeId};
  }

  private draw(from: number, to: number): number {
    return uniformInt(this.random, from, to);
  }

  private pick<Item>(items: readonly Item[]): Item {
    return items[this.draw(0, items.length - 1)]!;
  }
}

function describe({evacuated}: View): string {
  return [...evacuated].sort().join();
}

test('in random histories an acknowledged order stays in force, and no watcher sees another set than the log', t => {
  for (let seed = 1; seed <= seeds; seed++) {
    const faults: string[] = [];
    new History(seed, detail => faults.push(detail)).run();
    t.deepEqual(faults, [], `seed ${seed}`);
  }
});
