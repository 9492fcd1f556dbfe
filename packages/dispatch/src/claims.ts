import {type Address, type JobId, RecentMap, weighRendezvous} from '#model';

/** Claims kept: a minute's worth at some hundred jobs a second. */
const maxClaims = 20_000;

/** Who runs which job, as a registrar has noted it. The oldest claims are forgotten first. */
export class ClaimTable {
  private readonly owners = new RecentMap<JobId, Address>(maxClaims);

  /** Notes a claim unless another dispatcher's stands that is not the one replaced; returns the owner. */
  note(job: JobId, claimant: Address, replaces?: Address): Address {
    const known = this.owners.get(job);
    if (known !== undefined && known !== claimant && known !== replaces) {
      return known;
    }
    this.owners.set(job, claimant);
    return claimant;
  }
}

/**
 * Orders dispatchers by how well they rank as the registrar of a job: each job has its own order. The
 * first is its home, to which entries hand it.
 */
export function rankRegistrars(
  job: JobId,
  dispatchers: readonly Address[],
): readonly Address[] {
  return dispatchers
    .map(address => ({address, weight: weighRendezvous(job, address)}))
    .sort((a, b) => b.weight - a.weight)
    .map(({address}) => address);
}
