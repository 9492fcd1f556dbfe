import {
  type Address,
  type Clock,
  type Instant,
  type JobId,
  monotonicClock,
  RecentMap,
  computeRendezvousWeight,
} from '#model';
import type {Claim, ClaimAnswer} from './claim-messages.js';

/** Enough for a minute at some hundreds of jobs per second. */
const maxClaims = 20_000;

/** One process of a dispatcher, as the owner of jobs. The next process at its address is another owner. */
export interface JobOwner {
  readonly address: Address;
  /** Identifies the process among those at its address; undefined for builds that do not send it. */
  readonly life: number | undefined;
}

export function isSameOwner(one: JobOwner, other: JobOwner): boolean {
  return one.address === other.address && one.life === other.life;
}

/** The job owners that this registrar knows. The oldest claims are evicted first. */
export class ClaimTable {
  private readonly owners = new RecentMap<JobId, JobOwner>(maxClaims);

  constructor(
    /** When it was opened. Owners that had claimed their jobs before are unknown. */
    readonly openedAt: Instant = monotonicClock.now(),
    private readonly clock: Clock = monotonicClock,
  ) {}

  /** Records a claim, unless it is a query, and tells who owns the job now. */
  answer({job, claimant, replaces, isQuery = false}: Claim): ClaimAnswer {
    const owner = isQuery
      ? (this.owners.get(job) ?? claimant)
      : this.record(job, claimant, replaces);
    return {owner, knownForMs: this.clock.now() - this.openedAt};
  }

  /** Records a claim unless an owner other than `claimant` and `replaces` is known; returns the owner. */
  record(job: JobId, claimant: JobOwner, replaces?: JobOwner): JobOwner {
    const known = this.owners.get(job);
    if (
      known !== undefined &&
      !isSameOwner(known, claimant) &&
      !(replaces !== undefined && isSameOwner(known, replaces))
    ) {
      return known;
    }
    this.owners.set(job, claimant);
    return claimant;
  }

  /** True when the job is known to have an owner other than this one. */
  isOther(job: JobId, owner: JobOwner | undefined): boolean {
    const known = this.owners.get(job);
    if (known === undefined) return false;
    return owner === undefined || !isSameOwner(known, owner);
  }
}

/**
 * Orders dispatchers by their rendezvous hash for a job. The first ones are its registrars, and the
 * very first is its home, to which entries send it.
 */
export function rankRegistrars(
  job: JobId,
  dispatchers: readonly Address[],
): readonly Address[] {
  return dispatchers
    .map(address => ({address, weight: computeRendezvousWeight(job, address)}))
    .sort((a, b) => b.weight - a.weight)
    .map(({address}) => address);
}
