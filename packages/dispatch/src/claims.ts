import {createHash} from 'node:crypto';
import {type Address, type JobId, RecentMap} from '#model';

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

/** Orders dispatchers by how well they rank as the registrar of a job: each job has its own order. */
export function rankRegistrars(
  job: JobId,
  dispatchers: readonly Address[],
): readonly Address[] {
  const weigh = (address: Address) =>
    createHash('md5').update(job).update(address).digest().readUInt32LE(0);
  return dispatchers
    .map(address => ({address, weight: weigh(address)}))
    .sort((a, b) => b.weight - a.weight)
    .map(({address}) => address);
}
