import {
  type Address,
  type JobId,
  RecentMap,
  computeRendezvousWeight,
} from '#model';

/** Enough for a minute at some hundreds of jobs per second. */
const maxClaims = 20_000;

/** The job owners that this registrar knows. The oldest claims are evicted first. */
export class ClaimTable {
  private readonly owners = new RecentMap<JobId, Address>(maxClaims);

  /** Records a claim unless a dispatcher other than `claimant` and `replaces` owns the job; returns the owner. */
  record(job: JobId, claimant: Address, replaces?: Address): Address {
    const known = this.owners.get(job);
    if (known !== undefined && known !== claimant && known !== replaces) {
      return known;
    }
    this.owners.set(job, claimant);
    return claimant;
  }

  /** True when a dispatcher other than the one at this address owns the job. */
  isOther(job: JobId, address: Address | undefined): boolean {
    const owner = this.owners.get(job);
    return owner !== undefined && owner !== address;
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
