import type {Instant, JobId, ServiceName, TargetId, TargetInfo} from '#model';
import type {View} from '#membership';
import {isSlowed, type RoomTarget} from '#policy';
import {type LinkOwner, RunnerLink} from './link.js';

/** The connections to the runners of all targets that control knows. */
export class RunnerFleet implements AsyncDisposable {
  private readonly links = new Map<TargetId, RunnerLink>();

  constructor(private readonly owner: LinkOwner) {}

  /** True when some target could take work. */
  get isConnected(): boolean {
    return [...this.links.values()].some(link => link.isOpen);
  }

  find(target: TargetId): RunnerLink | undefined {
    return this.links.get(target);
  }

  /** Follows the targets that control knows. A link with runs outlasts its target's place in the view. */
  follow(view: View): void {
    const known = new Set<TargetId>();
    for (const info of view.targets.list()) {
      if (info.capacity.kind !== 'room') continue;
      known.add(info.target);
      this.putTarget(info);
    }
    for (const [target, link] of this.links) {
      if (known.has(target) || !link.isIdle) continue;
      this.links.delete(target);
      void link[Symbol.asyncDispose]();
    }
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
    const cleared = await Promise.all(
      [...this.links.values()].map(link => link.clear(job, deadline)),
    );
    return cleared.every(done => done);
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
