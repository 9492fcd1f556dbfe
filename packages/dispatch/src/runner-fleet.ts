import type {
  Address,
  FailureDomain,
  Instant,
  JobId,
  QueuedJob,
  ServiceName,
  TargetId,
  TargetInfo,
} from '#model';
import type {View} from '#membership';
import {
  canHoldWhenEmpty,
  chooseFollowedTargets,
  chooseHomeDispatchers,
  chooseCapableTargets,
  filterInService,
  isSlowed,
  type CandidateTarget,
  type TaskRequirements,
} from '#policy';
import {dialPeer, type Liveness} from '#protocol';
import {type RunnerLinkOwner, RunnerLink} from './link.js';

const clearLiveness: Liveness = {probeAfterMs: 200, silenceLimitMs: 600};

export interface RunnerFleetOwner extends RunnerLinkOwner {
  /** True while the dispatcher has jobs of a service. */
  readonly hasJobs: (service: ServiceName) => boolean;
}

/** Connections to the runners of the targets that this dispatcher places tasks on. */
export class RunnerFleet implements AsyncDisposable {
  private readonly links = new Map<TargetId, RunnerLink>();
  /** Targets that are followed in addition to the usual subset because some tasks have specific requirements. */
  private readonly requiredTargets = new Set<TargetId>();
  /** Services that this dispatcher is not a home for but has received a job of. */
  private readonly extraServices = new Set<ServiceName>();
  /** All targets in control's view, by service. */
  private known: ReadonlyMap<ServiceName, readonly TargetInfo[]> = new Map();
  /** The homes of services in that view, as far as they were asked for. */
  private readonly homes = new Map<ServiceName, readonly TargetInfo[]>();
  private evacuated: ReadonlySet<FailureDomain> = new Set();

  constructor(private readonly owner: RunnerFleetOwner) {}

  /** True when runs can be placed on some target. */
  get isConnected(): boolean {
    return [...this.links.values()].some(link => this.isUsable(link));
  }

  find(target: TargetId): RunnerLink | undefined {
    return this.links.get(target);
  }

  /** The number of known targets in evacuated failure domains. */
  get evacuatedCount(): number {
    const all = [...this.known.values()].flat();
    return all.length - filterInService(all, this.evacuated).length;
  }

  /**
   * Follows a subset of the targets of each service that this dispatcher serves. A link with outstanding
   * runs is kept after its target has left the view.
   */
  follow(view: View): void {
    this.known = groupTargets(view);
    this.evacuated = view.evacuated;
    this.homes.clear();
    this.followKnown();
  }

  /** Follows targets of a service that a job was received for, also when this dispatcher is not one of its homes. */
  followService(service: ServiceName): void {
    if (this.isServing(service)) return;
    this.extraServices.add(service);
    this.followKnown();
  }

  private isServing(service: ServiceName): boolean {
    const {localTarget} = this.owner;
    if (localTarget === undefined || this.extraServices.has(service))
      return true;
    const all = this.listKnown(service);
    // A former home, in an evacuated domain or for the time of an evacuation, still owns jobs.
    if (this.owner.hasJobs(service)) return true;
    return [
      ...this.findHomes(service),
      ...(this.evacuated.size > 0 ? chooseHomeDispatchers(service, all) : []),
    ].some(({target}) => target === localTarget);
  }

  /** Finds the homes of a service, which each job asks for more than once. */
  private findHomes(service: ServiceName): readonly TargetInfo[] {
    const known = this.homes.get(service);
    if (known !== undefined) return known;
    const homes = chooseHomeDispatchers(
      service,
      this.listKnown(service),
      this.evacuated,
    );
    this.homes.set(service, homes);
    return homes;
  }

  private followKnown(): void {
    const {dispatcher} = this.owner;
    const followed = new Set<TargetId>();
    for (const [service, targets] of this.known) {
      if (!this.isServing(service)) continue;
      const subset = chooseFollowedTargets(dispatcher, targets, this.evacuated);
      const required = targets.filter(({target}) =>
        this.requiredTargets.has(target),
      );
      for (const info of [...subset, ...required]) {
        followed.add(info.target);
        this.putTarget(info);
      }
    }
    for (const [target, link] of this.links) {
      if (followed.has(target) || !link.isIdle) continue;
      this.links.delete(target);
      void link[Symbol.asyncDispose]();
    }
  }

  /** Lists the dispatchers that accept a service's jobs, including those that are leaving. */
  listHomes(service: ServiceName): readonly Address[] {
    return this.findHomes(service).map(({address}) => address);
  }

  /**
   * Lists the dispatchers that may be registrars of a service's jobs. They don't depend on evacuations,
   * so that dispatchers which learn of one at different times ask the same registrars.
   */
  listRegistrars(service: ServiceName): readonly Address[] {
    if (this.evacuated.size === 0) return this.listHomes(service);
    const homes = chooseHomeDispatchers(service, this.listKnown(service));
    return homes.map(({address}) => address);
  }

  /** Lists all targets of a service in control's view, including those that are leaving. */
  listKnown(service: ServiceName): readonly TargetInfo[] {
    return this.known.get(service) ?? [];
  }

  /** Counts the targets of a service outside evacuated failure domains. */
  countInService(service: ServiceName): number {
    return filterInService(this.listKnown(service), this.evacuated).length;
  }

  /** True when some task of a job could run on targets of evacuated failure domains only. */
  isEvacuatedOnly(service: ServiceName, {steps}: QueuedJob): boolean {
    if (this.evacuated.size === 0) return false;
    const known = this.listKnown(service);
    const inService = filterInService(known, this.evacuated);
    return steps.some(
      step => !canSomeHold(inService, step) && canSomeHold(known, step),
    );
  }

  /** Follows more targets for a job that requires a label or prefers the rack of its data. */
  followRequiredTargets(service: ServiceName, {steps}: QueuedJob): void {
    for (const step of steps) {
      if (hasConstraints(step)) this.followCapableTargets(service, step);
    }
  }

  /** Follows targets that can run each task of a job, in the rack of its data if it names one; false when some task has no such target. */
  canRun(service: ServiceName, {steps}: QueuedJob): boolean {
    return steps.every(step => this.followCapableTargets(service, step));
  }

  private followCapableTargets(
    service: ServiceName,
    needs: TaskRequirements,
  ): boolean {
    const {dispatcher} = this.owner;
    const known = this.listKnown(service);
    const inService = filterInService(known, this.evacuated);
    const usable = chooseCapableTargets(dispatcher, needs, inService);
    const chosen =
      usable.length > 0
        ? usable
        : chooseCapableTargets(dispatcher, needs, known);
    for (const info of chosen) {
      this.requiredTargets.add(info.target);
      if (!this.links.has(info.target)) this.putTarget(info);
    }
    return chosen.length > 0;
  }

  /** Counts reports, run ends in them, reports with only a load, and bytes queued for sending, over the current links. */
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

  /** Describes the targets of a service on which runs can be placed. */
  listTargets(service: ServiceName): readonly CandidateTarget[] {
    const targets: CandidateTarget[] = [];
    for (const link of this.links.values()) {
      if (link.service !== service || !this.isUsable(link)) continue;
      const target = link.describe();
      if (target !== undefined) targets.push(target);
    }
    return targets;
  }

  /** Lists the links to open targets that have become much slower since one of their runs was placed. */
  listSlowedLinks(): readonly RunnerLink[] {
    return [...this.links.values()].filter(
      link =>
        link.isOpen &&
        link
          .listRuns()
          .some(({slownessAtPlacement}) =>
            isSlowed(slownessAtPlacement, link.slowness),
          ),
    );
  }

  /** Returns the ratio of a target's slowness to the mean over the open targets of its service. */
  computeRelativeSlowness(target: TargetId): number {
    const link = this.links.get(target);
    if (link === undefined) return 1;
    const open = [...this.links.values()].filter(
      ({service, isOpen}) => isOpen && service === link.service,
    );
    const sum = open.reduce((total, {slowness}) => total + slowness, 0);
    return sum === 0 ? 1 : (link.slowness * open.length) / sum;
  }

  /** True when a target of a service is silent or was disconnected or discovered a short time ago. */
  isTemporarilyUnreachable(service: ServiceName): boolean {
    return [...this.links.values()].some(
      link =>
        link.service === service &&
        link.isTemporarilyUnreachable &&
        !this.evacuated.has(link.failureDomain),
    );
  }

  /** Ends other dispatcher processes' runs of a job at all known targets; false when a target does not confirm in time. */
  async clear(job: JobId, deadline: Instant): Promise<boolean> {
    const links = [...this.links.values()];
    const connected = links.filter(({isConnected}) => isConnected);
    const asked = new Set(connected.map(({target}) => target));
    const others = [
      ...[...this.known.values()].flat(),
      ...links.map(({target, address}) => ({target, address})),
    ].filter(({target}) => !asked.has(target) && asked.add(target));
    const cleared = await Promise.all([
      ...connected.map(link => link.clear(job, deadline)),
      ...others.map(({address}) => this.clearAt(address, job, deadline)),
    ]);
    return cleared.every(done => done);
  }

  /**
   * Clears a job at a target over a temporary connection. A runner takes dispatchers only once its executor has
   * announced itself, but knows before when the executor has no runs.
   */
  private async clearAt(
    address: Address,
    job: JobId,
    deadline: Instant,
  ): Promise<boolean> {
    const {dispatcher, life} = this.owner;
    const dialled = await dialPeer(address, {}, deadline, clearLiveness);
    const peer = dialled.toMaybe().extract();
    if (peer === undefined) return false;
    // Without attaching, which would move the session from a connection that clears another job.
    const clearing = {job, dispatcher, life};
    const cleared = await peer.request('runner.clear', clearing, deadline);
    peer.close('closed by this end');
    return cleared.isRight();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await Promise.all(
      [...this.links.values()].map(link => link[Symbol.asyncDispose]()),
    );
  }

  private isUsable(link: RunnerLink): boolean {
    return link.isOpen && !this.evacuated.has(link.failureDomain);
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

/** Groups the targets with a capacity of kind `room` by service. */
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

function hasConstraints({requiredLabel, dataRack}: TaskRequirements): boolean {
  return requiredLabel !== undefined || dataRack !== undefined;
}

function canSomeHold(
  targets: readonly TargetInfo[],
  needs: TaskRequirements,
): boolean {
  return targets.some(
    ({capacity}) =>
      capacity.kind === 'room' && canHoldWhenEmpty({capacity}, needs),
  );
}
