import type {Epoch, Instant} from '#model';
import {
  computeEvenShare,
  countFree,
  defaultGrantLimits,
  type GrantLimits,
  type SlotGrants,
  type SlotHolder,
  putHolder,
} from './grants.js';

/** Messages that follow from a division. */
export interface Division {
  readonly grants: SlotGrants;
  /** Slots granted anew, by epoch: `entry.grant`, or in the next `entry.report`. */
  readonly granted: ReadonlyMap<Epoch, number>;
  /** Idle slots to ask back, by epoch: `entry.recall`. */
  readonly recalled: ReadonlyMap<Epoch, number>;
  /** Divide again then, if nothing changes before; `Infinity` when there is no need. */
  readonly againAt: Instant;
}

/** Another entry must hold less than this part of the ender's share to get its slot. */
const enderPreference = 0.8;

/**
 * Divides free slots among the entries. To be called after every change.
 * `ender` is the entry whose task has just ended, if any: its slot goes back to
 * it with the report unless another entry has the better claim.
 *
 * Slots granted ahead go first to the entries that wait, by their need; while
 * none waits, to those without a reserve, then back to the ender, then to the
 * one that holds fewest. Idle slots are recalled only from entries that do not
 * wait, for entries that do, and no more often than the interval.
 */
export function divideSlots(
  grants: SlotGrants,
  now: Instant,
  ender?: Epoch,
  limits: GrantLimits = defaultGrantLimits,
): Division {
  const granted = new Map<Epoch, number>();
  let divided = grants;
  for (let free = countFree(grants); free > 0; free--) {
    const holder =
      grants.mode === 'ahead'
        ? chooseAhead(divided, now, ender)
        : chooseReserved(divided);
    if (holder === undefined) break;
    divided = grantSlot(divided, holder);
    granted.set(holder.epoch, (granted.get(holder.epoch) ?? 0) + 1);
  }
  return {granted, ...recallIdle(divided, now, limits)};
}

function grantSlot(grants: SlotGrants, holder: SlotHolder): SlotGrants {
  const granted = holder.granted + 1;
  if (grants.mode === 'ahead') return putHolder(grants, {...holder, granted});
  return {
    ...putHolder(grants, {
      ...holder,
      granted,
      reserved: holder.reserved - 1,
      reservedOrder: grants.nextOrder,
    }),
    nextOrder: grants.nextOrder + 1,
  };
}

/** Entries take turns, so that a large reservation does not keep others waiting. */
function chooseReserved({holders}: SlotGrants): SlotHolder | undefined {
  let chosen: SlotHolder | undefined;
  for (const holder of holders.values()) {
    if (!holder.connected || holder.reserved === 0) continue;
    if (chosen === undefined || holder.reservedOrder < chosen.reservedOrder) {
      chosen = holder;
    }
  }
  return chosen;
}

function chooseAhead(
  grants: SlotGrants,
  now: Instant,
  ender: Epoch | undefined,
): SlotHolder | undefined {
  const connected = [...grants.holders.values()].filter(one => one.connected);
  const waiting = connected.filter(one => countUnmet(grants, one, now) > 0);
  if (waiting.length > 0) return chooseNeediest(waiting, ender);
  const owner = connected.find(one => one.epoch === ender);
  if (owner === undefined) return chooseFewest(connected, ender);
  if (owner.pressedUntil > now) return owner;
  const reserve = computeReserve(grants);
  const bare = connected.filter(one => countHeld(one) < reserve);
  return bare.length > 0 ? chooseFewest(bare, ender) : owner;
}

/** What every entry should hold for a burst while nobody waits. */
function computeReserve(grants: SlotGrants): number {
  return Math.ceil(computeEvenShare(grants) / 2);
}

function chooseFewest(
  holders: readonly SlotHolder[],
  ender: Epoch | undefined,
): SlotHolder | undefined {
  let chosen: SlotHolder | undefined;
  for (const holder of holders) {
    const fewer = chosen === undefined || countHeld(holder) < countHeld(chosen);
    const tied =
      chosen !== undefined && countHeld(holder) === countHeld(chosen);
    if (fewer || (tied && holder.epoch === ender)) chosen = holder;
  }
  return chosen;
}

/**
 * The entry that holds the smallest part of what it holds and wants, so that
 * tasks wait equally long at all entries. A small lead does not move the slot
 * away from the entry whose task has just ended.
 */
function chooseNeediest(
  holders: readonly SlotHolder[],
  ender: Epoch | undefined,
): SlotHolder | undefined {
  let chosen: SlotHolder | undefined;
  let least = Infinity;
  for (const holder of holders) {
    const held = countHeld(holder);
    const part = held / (held + Math.max(1, holder.waiting));
    const weighed = holder.epoch === ender ? part * enderPreference : part;
    if (weighed >= least) continue;
    least = weighed;
    chosen = holder;
  }
  return chosen;
}

function recallIdle(
  grants: SlotGrants,
  now: Instant,
  limits: GrantLimits,
): Omit<Division, 'granted'> {
  const recalled = new Map<Epoch, number>();
  let settled = grants;
  let missing = countMissing(grants, now);
  while (missing > 0) {
    const holder = chooseIdle(settled, now);
    if (holder === undefined) break;
    const slots = Math.min(missing, holder.granted);
    missing -= slots;
    recalled.set(holder.epoch, slots);
    settled = putHolder(settled, {
      ...holder,
      recalled: slots,
      recallDueAt: now + limits.recallIntervalMs,
    });
  }
  const againAt = missing > 0 ? findRecallDue(settled, now) : Infinity;
  return {grants: settled, recalled, againAt};
}

/** Finds when the next entry that holds idle slots may be asked again. */
function findRecallDue({holders}: SlotGrants, now: Instant): Instant {
  let due = Infinity;
  for (const {granted, recallDueAt} of holders.values()) {
    if (granted > 0 && recallDueAt > now) due = Math.min(due, recallDueAt);
  }
  return due;
}

/** Slots to be asked back: those beyond the agent's slots, and those that others wait for. */
function countMissing(grants: SlotGrants, now: Instant): number {
  let missing = countExcess(grants);
  for (const holder of grants.holders.values()) {
    if (grants.mode === 'ahead') missing += countUnmet(grants, holder, now);
    if (now < holder.recallDueAt) missing -= holder.recalled;
  }
  return missing;
}

/** Slots granted and in use beyond those that the agent has, once it has fewer. */
function countExcess(grants: SlotGrants): number {
  return Math.max(0, -countFree(grants));
}

/** Chooses the entry with the most idle slots; one that waits is spared unless slots are in excess. */
function chooseIdle(grants: SlotGrants, now: Instant): SlotHolder | undefined {
  const spareWaiting = countExcess(grants) === 0;
  let chosen: SlotHolder | undefined;
  for (const holder of grants.holders.values()) {
    if (holder.granted === 0 || now < holder.recallDueAt) continue;
    if (spareWaiting && holder.waiting > 0 && now < holder.demandDeadline) {
      continue;
    }
    if (chosen === undefined || holder.granted > chosen.granted) {
      chosen = holder;
    }
  }
  return chosen;
}

function countHeld({granted, running}: SlotHolder): number {
  return granted + running;
}

/** What an entry should be given: for tasks that wait beyond its idle slots, or as its even start. */
function countUnmet(
  grants: SlotGrants,
  holder: SlotHolder,
  now: Instant,
): number {
  if (!holder.connected) return 0;
  const waiting = now < holder.demandDeadline ? holder.waiting : 0;
  const owed =
    now < holder.startDeadline
      ? computeEvenShare(grants) - countHeld(holder)
      : 0;
  return Math.max(0, waiting - holder.granted, owed);
}
