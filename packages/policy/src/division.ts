import type {Epoch, Instant} from '#model';
import {
  computeEqualShare,
  countFree,
  defaultGrantLimits,
  type GrantLimits,
  type SlotGrants,
  type SlotHolder,
  putHolder,
} from './grants.js';

/** The result of dividing an agent's free slots among entries, with the messages to send. */
export interface Division {
  readonly grants: SlotGrants;
  /** Newly granted slots by epoch, sent in `entry.grant` or the next `entry.report`. */
  readonly granted: ReadonlyMap<Epoch, number>;
  /** Idle slots to recall by epoch, sent in `entry.recall`. */
  readonly recalled: ReadonlyMap<Epoch, number>;
  /** When to divide again if nothing changes before; `Infinity` for never. */
  readonly nextDivisionAt: Instant;
}

/** Factor on the served share of a slot's previous user, so that a small difference does not move the slot. */
const previousUserWeight = 0.8;

/**
 * Divides free slots among the entries. Must be called after every change.
 * `previousUser` is the entry whose task has just ended, if any: its slot goes
 * back to it in the report unless another entry takes precedence.
 *
 * In mode `ahead`, slots go to entries with unmet demand, the least served first.
 * If no entry has any, a slot returns to its previous user if that recently had
 * waiting tasks; otherwise it goes to an entry below its reserve, then to the
 * previous user. Without a previous user it goes to the entry that holds the
 * fewest. Idle slots are recalled for entries with unmet demand, only from
 * entries without waiting tasks and at most once per interval from each. Slots
 * in excess of the agent's total may be recalled from any entry.
 */
export function divideSlots(
  grants: SlotGrants,
  now: Instant,
  previousUser?: Epoch,
  limits: GrantLimits = defaultGrantLimits,
): Division {
  const granted = new Map<Epoch, number>();
  let updated = grants;
  for (let free = countFree(grants); free > 0; free--) {
    const holder =
      grants.mode === 'ahead'
        ? chooseForAdvanceGrant(updated, now, previousUser)
        : chooseForReservation(updated);
    if (holder === undefined) break;
    updated = grantSlot(updated, holder);
    granted.set(holder.epoch, (granted.get(holder.epoch) ?? 0) + 1);
  }
  return {granted, ...recallIdle(updated, now, limits)};
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

/** Serves reservations round-robin, so that a large one does not delay other entries. */
function chooseForReservation({holders}: SlotGrants): SlotHolder | undefined {
  let chosen: SlotHolder | undefined;
  for (const holder of holders.values()) {
    if (!holder.connected || holder.reserved === 0) continue;
    if (chosen === undefined || holder.reservedOrder < chosen.reservedOrder) {
      chosen = holder;
    }
  }
  return chosen;
}

function chooseForAdvanceGrant(
  grants: SlotGrants,
  now: Instant,
  previousUser: Epoch | undefined,
): SlotHolder | undefined {
  const connected = [...grants.holders.values()].filter(one => one.connected);
  const waiting = connected.filter(one => countUnmet(grants, one, now) > 0);
  if (waiting.length > 0) return chooseLeastServed(waiting, previousUser);
  const previous = connected.find(one => one.epoch === previousUser);
  if (previous === undefined) return chooseFewest(connected, previousUser);
  if (previous.retentionDeadline > now) return previous;
  const reserve = computeReserve(grants);
  const belowReserve = connected.filter(one => countHeld(one) < reserve);
  return belowReserve.length > 0
    ? chooseFewest(belowReserve, previousUser)
    : previous;
}

/** Slots that each entry should hold for a burst of tasks while none has unmet demand. */
function computeReserve(grants: SlotGrants): number {
  return Math.ceil(computeEqualShare(grants) / 2);
}

function chooseFewest(
  holders: readonly SlotHolder[],
  previousUser: Epoch | undefined,
): SlotHolder | undefined {
  let chosen: SlotHolder | undefined;
  for (const holder of holders) {
    const isFewer =
      chosen === undefined || countHeld(holder) < countHeld(chosen);
    const isTied =
      chosen !== undefined && countHeld(holder) === countHeld(chosen);
    if (isFewer || (isTied && holder.epoch === previousUser)) chosen = holder;
  }
  return chosen;
}

/**
 * Chooses the entry with the lowest ratio of held slots to held slots plus
 * waiting tasks, so that tasks wait about equally long at all entries. The
 * weight keeps the slot at the previous user unless its ratio is clearly higher.
 */
function chooseLeastServed(
  holders: readonly SlotHolder[],
  previousUser: Epoch | undefined,
): SlotHolder | undefined {
  let chosen: SlotHolder | undefined;
  let lowest = Infinity;
  for (const holder of holders) {
    const held = countHeld(holder);
    const servedShare = held / (held + Math.max(1, holder.waiting));
    const weighted =
      holder.epoch === previousUser
        ? servedShare * previousUserWeight
        : servedShare;
    if (weighted >= lowest) continue;
    lowest = weighted;
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
  let updated = grants;
  let needed = countToRecall(grants, now);
  while (needed > 0) {
    const holder = chooseIdle(updated, now);
    if (holder === undefined) break;
    const slots = Math.min(needed, holder.granted);
    needed -= slots;
    recalled.set(holder.epoch, slots);
    updated = putHolder(updated, {
      ...holder,
      recalled: slots,
      recallDueAt: now + limits.recallIntervalMs,
    });
  }
  const nextRecallAt = needed > 0 ? findNextRecall(updated, now) : Infinity;
  return {grants: updated, recalled, nextDivisionAt: nextRecallAt};
}

/** Returns when the next entry with idle slots may receive another recall. */
function findNextRecall({holders}: SlotGrants, now: Instant): Instant {
  let due = Infinity;
  for (const {granted, recallDueAt} of holders.values()) {
    if (granted > 0 && recallDueAt > now) due = Math.min(due, recallDueAt);
  }
  return due;
}

/** Counts the slots in excess and those for unmet demand, less the recalls in progress. */
function countToRecall(grants: SlotGrants, now: Instant): number {
  let needed = countExcess(grants);
  for (const holder of grants.holders.values()) {
    if (grants.mode === 'ahead') needed += countUnmet(grants, holder, now);
    if (now < holder.recallDueAt) needed -= holder.recalled;
  }
  return needed;
}

/** Counts the slots granted or in use beyond the agent's total, which may have shrunk. */
function countExcess(grants: SlotGrants): number {
  return Math.max(0, -countFree(grants));
}

/** Chooses the entry with the most idle slots, without waiting tasks unless slots are in excess. */
function chooseIdle(grants: SlotGrants, now: Instant): SlotHolder | undefined {
  const skipWaiting = countExcess(grants) === 0;
  let chosen: SlotHolder | undefined;
  for (const holder of grants.holders.values()) {
    if (holder.granted === 0 || now < holder.recallDueAt) continue;
    if (skipWaiting && holder.waiting > 0 && now < holder.demandDeadline) {
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

/** Counts the slots that an entry lacks for waiting tasks or, after connecting, for an equal share. */
function countUnmet(
  grants: SlotGrants,
  holder: SlotHolder,
  now: Instant,
): number {
  if (!holder.connected) return 0;
  const waiting = now < holder.demandDeadline ? holder.waiting : 0;
  const shareDeficit =
    now < holder.equalShareDeadline
      ? computeEqualShare(grants) - countHeld(holder)
      : 0;
  return Math.max(0, waiting - holder.granted, shareDeficit);
}
