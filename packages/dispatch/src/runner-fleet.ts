import type {
  Address,
  Instant,
  JobId,
  QueuedJob,
  ServiceName,
  TargetId,
  TargetInfo,
} from '#model';
import type {View} from '#membership';
import {
  chooseTargetSubset,
  chooseHomes,
  chooseCapableTargets,
  isSlowed,
  type RoomTarget,
  type TaskRequirements,
} from '#policy';
import {dialPeer, type Liveness} from '#protocol';
import {type LinkOwner, RunnerLink} from './link.js';

const clearLiveness: Liveness = {probeAfterMs: 200, silenceLimitMs: 600};

/** The connections to the runners of the targets that this dispatcher places tasks on. */
export class RunnerFleet implements AsyncDisposable {
  private readonly links = new Map<TargetId, RunnerLink>();
  /** Targets that are followed for what some tasks need. */
  private readonly holders = new Set<TargetId>();
  /** Services of which a job came here out of turn. */
  private readonly needed = new Set<ServiceName>();
  /** All targets that control knows, by service. */
  private known: ReadonlyMap<ServiceName, readonly TargetInfo[]> = new Map();

  constructor(private readonly owner: LinkOwner) {}

  /** True when some target could take work. */
  get isConnected(): boolean {
    return [...this.links.values()].some(link => link.isOpen);
  }

  find(target: TargetId): RunnerLink | undefined {
    return this.links.get(target);
  }

  /**
   * Follows some of the targets of each service whose jobs come here. A link with runs outlasts its
   * target's place in the view.
   */
  follow(view: View): void {
    this.known = groupTargets(view);
    this.followKnown();
  }

  /** Follows the targets of a service of which a job has come here, though others take its jobs as a rule. */
  need(service: ServiceName): void {
    if (this.isServing(service)) return;
    this.needed.add(service);
    this.followKnown();
  }

  private isServing(service: ServiceName): boolean {
    const {beside} = this.owner;
    if (beside === undefined || this.needed.has(service)) return true;
    const homes = chooseHomes(service, this.listKnown(service));
    return homes.some(({target}) => target === beside);
  }

  private followKnown(): void {
    const {dispatcher} = this.owner;
    const known = new Set<TargetId>();
    for (const [service, targets] of this.known) {
      if (!this.isServing(service)) continue;
      const followed = chooseTargetSubset(dispatcher, targets);
      const more = targets.filter(({target}) => this.holders.has(target));
      for (const info of [...followed, ...more]) {
        known.add(info.target);
        this.putTarget(info);
      }
    }
    for (const [target, link] of this.links) {
      if (known.has(target) || !link.isIdle) continue;
      this.links.delete(target);
      void link[Symbol.asyncDispose]();
    }
  }

  /** Lists the dispatchers that take a service's jobs, also those that leave. */
  listHomes(service: ServiceName): readonly Address[] {
    const homes = chooseHomes(service, this.listKnown(service));
    return homes.map(({address}) => address);
  }

  /** Lists all targets of a service that control knows, also those that leave. */
  listKnown(service: ServiceName): readonly TargetInfo[] {
    return this.known.get(service) ?? [];
  }

  /** Follows further targets for a job that not every target serves equally well. */
  followNeeds(service: ServiceName, {steps}: QueuedJob): void {
    for (const step of steps) {
      if (hasNeeds(step)) this.followHolders(service, step);
    }
  }

  /** Follows targets that could hold each task of a job; false when none that control knows could hold one of them. */
  canHold(service: ServiceName, {steps}: QueuedJob): boolean {
    return steps.every(step => this.followHolders(service, step));
  }

  private followHolders(
    service: ServiceName,
    needs: TaskRequirements,
  ): boolean {
    const known = this.listKnown(service);
    const chosen = chooseCapableTargets(this.owner.dispatcher, needs, known);
    for (const info of chosen) {
      this.holders.add(info.target);
      if (!this.links.has(info.target)) this.putTarget(info);
    }
    return chosen.length > 0;
  }

  /** Counts what targets have reported since the start: messages, the ends in them, and those that told a load only; and the bytes that wait to be sent. */
  countMessages(): Readonly<Record<string, number>> {
    let reports = 0;
    let ends = 0;
    let loadsOnly = 0;
    let unsentBytes = 0;
    for (const link of this.links.values()) {
      reports += link.reportCount;
      ends += link.endCount;
      loadsOnly += link.loadOnlyCount;
      unsentBytes += link.unsentBytes;
    }
    return {reports, ends, loadsOnly, unsentBytes};
  }

  /** Describes the targets of a service that take runs. */
  listTargets(service: ServiceName): readonly RoomTarget[] {
    const targets: RoomTarget[] = [];
    for (const link of this.links.values()) {
      if (link.service !== service || !link.isOpen) continue;
      const target = link.describe();
      if (target !== undefined) targets.push(target);
    }
    return targets;
  }

  /** Lists the connected targets that have become much slower since some run was placed there. */
  listSlowed(): readonly RunnerLink[] {
    return [...this.links.values()].filter(
      link =>
        link.isOpen &&
        link
          .listRuns()
          .some(({slownessThen}) => isSlowed(slownessThen, link.slowness)),
    );
  }

  /** Computes a target's slowness over the mean of all connected ones of its service. */
  computeRelativeSlowness(target: TargetId): number {
    const link = this.links.get(target);
    if (link === undefined) return 1;
    const open = [...this.links.values()].filter(
      ({service, isOpen}) => isOpen && service === link.service,
    );
    const sum = open.reduce((total, {slowness}) => total + slowness, 0);
    return sum === 0 ? 1 : (link.slowness * open.length) / sum;
  }

  /** True when a target of a service is out of touch for a moment only. */
  isReturning(service: ServiceName): boolean {
    return [...this.links.values()].some(
      link => link.service === service && link.isReturning,
    );
  }

  /** Ends what other dispatchers run of a job; false when a target does not say so in time. */
  async clear(job: JobId, deadline: Instant): Promise<boolean> {
    const followed = [...this.links.values()].map(link =>
      link.clear(job, deadline),
    );
    const others = [...this.known.values()]
      .flat()
      .filter(({target}) => !this.links.has(target))
      .map(info => this.clearUnfollowed(info, job, deadline));
    const cleared = await Promise.all([...followed, ...others]);
    return cleared.every(done => done);
  }

  /** Clears a job at a target that is not followed, over a connection of its own. */
  private async clearUnfollowed(
    {address}: TargetInfo,
    job: JobId,
    deadline: Instant,
  ): Promise<boolean> {
    const {dispatcher, life} = this.owner;
    const dialled = await dialPeer(address, {}, deadline, clearLiveness);
    const peer = dialled.toMaybe().extract();
    if (peer === undefined) return false;
    const attaching = {dispatcher, life, tickets: []};
    const attached = await peer.request('runner.attach', attaching, deadline);
    const cleared =
      attached.isRight() &&
      (await peer.request('runner.clear', {job}, deadline)).isRight();
    peer.close('closed by this end');
    return cleared;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await Promise.all(
      [...this.links.values()].map(link => link[Symbol.asyncDispose]()),
    );
  }

  private putTarget(info: TargetInfo): void {
    const known = this.links.get(info.target);
    if (known !== undefined) {
      known.update(info);
      return;
    }
    this.links.set(info.target, new RunnerLink(info, this.owner));
  }
}

/** Groups the targets that have room for runs by their services. */
export function groupTargets(
  view: View,
): ReadonlyMap<ServiceName, readonly TargetInfo[]> {
  const groups = new Map<ServiceName, TargetInfo[]>();
  for (const info of view.targets.list()) {
    if (info.capacity.kind !== 'room') continue;
    const group = groups.get(info.service) ?? [];
    group.push(info);
    groups.set(info.service, group);
  }
  return groups;
}

function hasNeeds({requiredLabel, dataRack}: TaskRequirements): boolean {
  return requiredLabel !== undefined || dataRack !== undefined;
}
