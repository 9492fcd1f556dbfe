import {assertInvariant, type Epoch, type Instant} from '#model';

/** The slots of an agent that one entry epoch holds and requests. */
export interface SlotHolder {
  readonly epoch: Epoch;
  /** False once the connection is lost; its tasks continue to run. */
  readonly connected: boolean;
  /** Idle granted slots, as known to the agent. */
  readonly granted: number;
  /** Slots in use by its tasks, running or queued at the agent. */
  readonly running: number;
  /** Reserved slots that are not granted yet (probes). */
  readonly reserved: number;
  /** Tasks waiting at the entry, as last reported. */
  readonly waiting: number;
  /** `waiting` is valid until then. */
  readonly demandDeadline: Instant;
  /** Until then the entry is entitled to an equal share of the slots. */
  readonly equalShareDeadline: Instant;
  /** Until then, while no entry has unmet demand, its freed slots return to it before other entries' reserves are filled. */
  readonly retentionDeadline: Instant;
  /** Recalled slots that are neither released nor in use yet. */
  readonly recalled: number;
  /** No recall is sent before then. */
  readonly recallDueAt: Instant;
  /** Sequence number in the round-robin order of entries with reservations. */
  readonly reservedOrder: number;
}

/** Whether idle slots are granted in advance or only on reservation. */
export type GrantMode = 'ahead' | 'on-reservation';

/** The division of an agent's slots among entries. Immutable: every change returns a new value. */
export interface SlotGrants {
  readonly slots: number;
  readonly mode: GrantMode;
  readonly holders: ReadonlyMap<Epoch, SlotHolder>;
  readonly nextOrder: number;
}

export interface GrantLimits {
  /** How long reported demand is valid, and how long a new connection is entitled to an equal share. */
  readonly demandTtlMs: number;
  /** How long after its last demand an entry has priority for the slots that it frees. */
  readonly slotRetentionMs: number;
  /** Minimum interval between two recalls to the same entry. */
  readonly recallIntervalMs: number;
}

export const defaultGrantLimits: GrantLimits = {
  demandTtlMs: 250,
  slotRetentionMs: 1000,
  recallIntervalMs: 10,
};

/** Creates the division of an agent without connected entries. */
export function createGrants(slots: number, mode: GrantMode): SlotGrants {
  return {slots, mode, holders: new Map(), nextOrder: 0};
}

/**
 * Adds an entry, or replaces its connection; earlier grants become invalid. For
 * a limited time the entry is entitled to an equal share, so that slots granted
 * in advance to other entries are divided again.
 */
export function connectHolder(
  grants: SlotGrants,
  epoch: Epoch,
  now: Instant,
  limits: GrantLimits = defaultGrantLimits,
): SlotGrants {
  const running = grants.holders.get(epoch)?.running ?? 0;
  const equalShareDeadline = now + limits.demandTtlMs;
  return putHolder(grants, {
    ...createHolder(epoch),
    running,
    equalShareDeadline,
  });
}

export function countConnected({holders}: SlotGrants): number {
  let count = 0;
  for (const {connected} of holders.values()) if (connected) count++;
  return count;
}

/** Disconnects an entry and frees its idle slots. Running tasks keep theirs until they end. */
export function closeHolder(grants: SlotGrants, epoch: Epoch): SlotGrants {
  const holder = grants.holders.get(epoch);
  if (holder === undefined) return grants;
  const {running} = holder;
  return putHolder(grants, {
    ...createHolder(epoch),
    connected: false,
    running,
  });
}

/** Changes the number of slots. Idle grants beyond it are recalled by the next division. */
export function setSlots(grants: SlotGrants, slots: number): SlotGrants {
  return {...grants, slots};
}

/** Counts the slots that are neither granted nor in use. */
export function countFree({slots, holders}: SlotGrants): number {
  let free = slots;
  for (const {granted, running} of holders.values()) free -= granted + running;
  return free;
}

/** Computes the equal share of the slots for each connected entry, rounded down. */
export function computeEqualShare(grants: SlotGrants): number {
  return Math.floor(grants.slots / Math.max(1, countConnected(grants)));
}

/** Counts the slots in use. */
export function countRunning({holders}: SlotGrants): number {
  let sum = 0;
  for (const {running} of holders.values()) sum += running;
  return sum;
}

/**
 * Puts a granted slot into use, or a free one if the task was sent without a
 * grant. Returns `undefined` if no slot is available or the grant is invalid.
 */
export function takeSlot(
  grants: SlotGrants,
  epoch: Epoch,
  granted: boolean,
): SlotGrants | undefined {
  const holder = grants.holders.get(epoch);
  if (holder === undefined || !holder.connected) return undefined;
  if (countRunning(grants) >= grants.slots) return undefined;
  const running = holder.running + 1;
  if (granted && holder.granted > 0) {
    const idle = holder.granted - 1;
    const recalled = Math.min(holder.recalled, idle);
    return putHolder(grants, {...holder, running, granted: idle, recalled});
  }
  if (granted || countFree(grants) <= 0) return undefined;
  return putHolder(grants, {...holder, running});
}

/** Frees the slot of a task that ended. */
export function returnSlot(grants: SlotGrants, epoch: Epoch): SlotGrants {
  const holder = grants.holders.get(epoch);
  assertInvariant(
    holder !== undefined && holder.running > 0,
    `epoch ${epoch} has no running task`,
  );
  return putHolder(grants, {...holder, running: holder.running - 1});
}

/** Applies `agent.reserve`. */
export function reserveSlots(
  grants: SlotGrants,
  epoch: Epoch,
  slots: number,
): SlotGrants {
  const holder = grants.holders.get(epoch);
  if (holder === undefined || !holder.connected) return grants;
  const isFirst = holder.reserved === 0;
  return {
    ...putHolder(grants, {
      ...holder,
      reserved: holder.reserved + slots,
      reservedOrder: isFirst ? grants.nextOrder : holder.reservedOrder,
    }),
    nextOrder: grants.nextOrder + 1,
  };
}

/** Applies `agent.release`: withdraws reservations first, then frees idle slots. */
export function releaseSlots(
  grants: SlotGrants,
  epoch: Epoch,
  slots: number,
): SlotGrants {
  const holder = grants.holders.get(epoch);
  if (holder === undefined) return grants;
  const withdrawn = Math.min(slots, holder.reserved);
  const returned = Math.min(slots - withdrawn, holder.granted);
  return putHolder(grants, {
    ...holder,
    reserved: holder.reserved - withdrawn,
    granted: holder.granted - returned,
    recalled: Math.max(0, holder.recalled - returned),
  });
}

/** Applies the number of waiting tasks from `agent.demand` or `agent.start`. */
export function updateDemand(
  grants: SlotGrants,
  epoch: Epoch,
  waiting: number,
  now: Instant,
  limits: GrantLimits = defaultGrantLimits,
): SlotGrants {
  const holder = grants.holders.get(epoch);
  if (holder === undefined || !holder.connected) return grants;
  return putHolder(grants, {
    ...holder,
    waiting,
    demandDeadline: now + limits.demandTtlMs,
    retentionDeadline:
      waiting > 0 ? now + limits.slotRetentionMs : holder.retentionDeadline,
  });
}

function createHolder(epoch: Epoch): SlotHolder {
  return {
    epoch,
    connected: true,
    granted: 0,
    running: 0,
    reserved: 0,
    waiting: 0,
    demandDeadline: -Infinity,
    equalShareDeadline: -Infinity,
    retentionDeadline: -Infinity,
    recalled: 0,
    recallDueAt: -Infinity,
    reservedOrder: 0,
  };
}

/** Replaces a holder; removes it if it is disconnected and has no running task. */
export function putHolder(grants: SlotGrants, holder: SlotHolder): SlotGrants {
  const holders = new Map(grants.holders);
  const isUnused = !holder.connected && holder.running === 0;
  if (isUnused) holders.delete(holder.epoch);
  else holders.set(holder.epoch, holder);
  return {...grants, holders};
}
