import type {
  Address,
  EndedEpoch,
  EntryId,
  EntryInfo,
  Epoch,
  Location,
} from '#model';
import type {ViewChange} from '#protocol';

/** Entry epochs: the live ones, and the ended ones that still have admitted jobs. */
export interface EpochTable {
  nextEpoch: Epoch;
  readonly live: Map<Epoch, LiveEntry>;
  readonly ended: Map<Epoch, EndedEpoch>;
}

export interface LiveEntry {
  readonly info: EntryInfo;
  readonly nonce: string;
}

/**
 * Opens an epoch and ends older ones of the same entry. The new epoch takes over the jobs of ended
 * epochs that have no successor (`heir`) yet. A retry with the same nonce gets the epoch it opened.
 */
export function openEpoch(
  table: EpochTable,
  opening: {
    readonly entry: EntryId;
    readonly nonce: string;
    readonly address: Address;
    readonly place: Location;
  },
): {readonly epoch: Epoch; readonly changes: readonly ViewChange[]} {
  const {entry, nonce, address, place} = opening;
  const older = [...table.live.values()].filter(
    live => live.info.entry === entry,
  );
  const same = older.find(live => live.nonce === nonce);
  if (same !== undefined) return {epoch: same.info.epoch, changes: []};
  const epoch = table.nextEpoch++;
  const info: EntryInfo = {entry, epoch, address, place};
  table.live.set(epoch, {info, nonce});
  const changes: ViewChange[] = [{kind: 'entry-opened', entry: info}];
  for (const live of older) changes.push(...endEpoch(table, live.info.epoch));
  for (const ended of table.ended.values()) {
    if (ended.heir === undefined)
      changes.push(setSuccessor(table, ended, epoch));
  }
  return {epoch, changes};
}

/** Ends a live epoch and chooses its successor, which also takes over the ended epochs that it had taken over. */
export function endEpoch(
  table: EpochTable,
  epoch: Epoch,
): readonly ViewChange[] {
  const live = table.live.get(epoch);
  if (live === undefined) return [];
  table.live.delete(epoch);
  const heir = chooseSuccessor(live.info, [...table.live.values()]);
  const changes: ViewChange[] = [
    setSuccessor(table, {entry: live.info.entry, epoch}, heir),
  ];
  for (const ended of table.ended.values()) {
    if (ended.heir === epoch) changes.push(setSuccessor(table, ended, heir));
  }
  return changes;
}

/** Returns the epoch that now owns the jobs of an epoch: its successor, or itself. */
export function resolveOwner(table: EpochTable, epoch: Epoch): Epoch {
  return table.ended.get(epoch)?.heir ?? epoch;
}

function setSuccessor(
  table: EpochTable,
  {entry, epoch}: EndedEpoch,
  heir: Epoch | undefined,
): ViewChange {
  const ended: EndedEpoch =
    heir === undefined ? {entry, epoch} : {entry, epoch, heir};
  table.ended.set(epoch, ended);
  return {kind: 'epoch-ended', ended};
}

/** Chooses among the nearest live entries by rendezvous hashing, which spreads ended epochs over them. */
function chooseSuccessor(
  ended: EntryInfo,
  live: readonly LiveEntry[],
): Epoch | undefined {
  let best: {readonly epoch: Epoch; readonly score: number} | undefined;
  for (const {info} of live) {
    const score =
      rankProximity(ended.place, info.place) +
      hashEpochs(ended.epoch, info.epoch);
    if (best === undefined || score > best.score) {
      best = {epoch: info.epoch, score};
    }
  }
  return best?.epoch;
}

function rankProximity(from: Location, to: Location): number {
  if (from.site === to.site) return 2;
  return from.region === to.region ? 1 : 0;
}

/** Hashes two epochs to a number of at least 0 and below 1. */
function hashEpochs(a: Epoch, b: Epoch): number {
  let h = Math.imul(a ^ 0x9e3779b9, 0x85ebca6b) ^ Math.imul(b, 0xc2b2ae35);
  h = Math.imul(h ^ (h >>> 15), 0x2c1b3c6d);
  h = Math.imul(h ^ (h >>> 12), 0x297a2d39);
  return ((h ^ (h >>> 15)) >>> 0) / 2 ** 32;
}
