import type {EntryInfo, FailureDomain, TargetInfo} from '#model';
import type {EvacuationStatus, ViewChange} from '#protocol';

/** The evacuated failure domains, independent of the configuration. */
export interface EvacuationState {
  /** The number of changes that had an effect. */
  version: number;
  /** The revision of the last change that had an effect. */
  revision: number;
  readonly evacuated: Set<FailureDomain>;
  /**
   * Every failure domain that an entry or target was ever in. Replicas may differ in it, as one that
   * starts from an older build's snapshot knows only the live ones, so no command may depend on it.
   */
  readonly known: Set<FailureDomain>;
  /** The latest change ids, oldest first. */
  readonly changeIds: Set<string>;
}

/** An order of an operator. */
export interface EvacuationOrder {
  readonly domain: FailureDomain;
  readonly evacuated: boolean;
  readonly changeId?: string;
}

const maxChangeIds = 400;
const maxNameBytes = 255;
/** Log time within which the processes of a new group have announced themselves, in ms. */
const formationMs = 30_000;

/** Creates the state of a group in which nothing is evacuated. */
export function createEvacuations(): EvacuationState {
  return {
    version: 0,
    revision: 0,
    evacuated: new Set(),
    known: new Set(),
    changeIds: new Set(),
  };
}

/**
 * Carries out an order at a revision. The latest order counts: one that finds the domain as it asks,
 * and one that repeats an earlier change id, changes nothing.
 */
export function applyEvacuation(
  state: EvacuationState,
  {domain, evacuated, changeId}: EvacuationOrder,
  revision: number,
): readonly ViewChange[] {
  if (changeId !== undefined) {
    if (state.changeIds.has(changeId)) return [];
    recordChangeId(state.changeIds, changeId);
  }
  if (state.evacuated.has(domain) === evacuated) return [];
  if (evacuated) state.evacuated.add(domain);
  else state.evacuated.delete(domain);
  state.known.add(domain);
  state.version++;
  state.revision = revision;
  return [{kind: evacuated ? 'domain-evacuated' : 'domain-restored', domain}];
}

/** True for a name that a failure domain can have: 1 to 255 bytes without control characters. */
export function isDomainName(name: string): boolean {
  const bytes = Buffer.byteLength(name);
  return bytes > 0 && bytes <= maxNameBytes && !/\p{Cc}/u.test(name);
}

/** True if a process of the group was ever in the domain, or if the group is too young to tell. Log time in ms. */
export function isKnownDomain(
  {known, evacuated}: EvacuationState,
  domain: FailureDomain,
  time: number,
): boolean {
  return time < formationMs || known.has(domain) || evacuated.has(domain);
}

/** Lists the known domains with the targets and entries that are there. */
export function listDomains(
  {version, known, evacuated}: EvacuationState,
  targets: Iterable<TargetInfo>,
  entries: Iterable<EntryInfo>,
): EvacuationStatus {
  const targetCounts = countByDomain(targets);
  const entryCounts = countByDomain(entries);
  const names = [...new Set([...known, ...evacuated])].sort();
  return {
    version,
    domains: names.map(domain => ({
      domain,
      evacuated: evacuated.has(domain),
      targets: targetCounts.get(domain) ?? 0,
      entries: entryCounts.get(domain) ?? 0,
    })),
  };
}

function countByDomain(
  processes: Iterable<TargetInfo | EntryInfo>,
): ReadonlyMap<FailureDomain, number> {
  const counts = new Map<FailureDomain, number>();
  for (const {place} of processes) {
    const {failureDomain} = place;
    counts.set(failureDomain, (counts.get(failureDomain) ?? 0) + 1);
  }
  return counts;
}

function recordChangeId(changeIds: Set<string>, changeId: string): void {
  changeIds.add(changeId);
  if (changeIds.size <= maxChangeIds) return;
  for (const oldest of changeIds) {
    changeIds.delete(oldest);
    return;
  }
}
