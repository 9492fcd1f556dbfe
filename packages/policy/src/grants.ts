import {assertInvariant, type Epoch, type Instant} from '#model';

/** What one entry epoch holds of an agent's slots and wants of them. */
export interface SlotHolder {
  readonly epoch: Epoch;
  /** False once its connection is lost; its tasks still run. */
  readonly connected: boolean;
  /** Slots granted and idle, as far as the agent knows. */
  readonly granted: number;
  /** Slots in use by its tasks, running or queued at the agent. */
  readonly running: number;
  /** Slots asked for one by one (probes). */
  readonly reserved: number;
  /** Tasks that wait at the entry, as last told. */
  readonly waiting: number;
  /** What was told of waiting tasks holds until then. */
  readonly demandDeadline: Instant;
  /** Until then it is owed an even share of the slots. */
  readonly startDeadline: Instant;
  /** Until then its slots come back to it before others are given a reserve. */
  readonly pressedUntil: Instant;
  /** Idle slots asked back and neither released nor used yet. */
  readonly recalled: number;
  /** No recall is sent before then. */
  readonly recallDueAt: Instant;
  /** Position in the line of those that wait for probes. */
  readonly reservedOrder: number;
}

/** Whether idle slots are granted ahead, or only on reservation. */
export type GrantMode = 'ahead' | 'on-reservation';

/** How an agent's slots are divided among entries. A value: every change makes a new one. */
export interface SlotGrants {
  readonly slots: number;
  readonly mode: GrantMode;
  readonly holders: ReadonlyMap<Epoch, SlotHolder>;
  readonly nextOrder: number;
}

export interface GrantLimits {
  /** How long told demand is believed, in ms. */
  readonly demandMs: number;
  /** How long after its last demand an entry keeps the slots that it uses, in ms. */
  readonly pressedMs: number;
  /** Between two recalls to the same entry, in ms. */
  readonly recallIntervalMs: number;
}

export const defaultGrantLimits: GrantLimits = {
  demandMs: 250,
  pressedMs: 1000,
  recallIntervalMs: 10,
};

/** Creates the division of an agent to which no entry is connected. */
export function createGrants(slots: number, mode: GrantMode): SlotGrants {
  return {slots, mode, holders: new Map(), nextOrder: 0};
}

/**
 * Adds an entry, or opens its new connection: what it was granted before is
 * void. For a time it is owed an even share, so that slots granted ahead to
 * others before it came are divided anew.
 */
export function connectHolder(
  grants: SlotGrants,
  epoch: Epoch,
  now: Instant,
  limits: GrantLimits = defaultGrantLimits,
): SlotGrants {
  const running = grants.holders.get(epoch)?.running ?? 0;
  const startDeadline = now + limits.demandMs;
  return putHolder(grants, {...createHolder(epoch), running, startDeadline});
}

/** Counts the entries that are connected. */
export function countConnected({holders}: SlotGrants): number {
  let count = 0;
  for (const {connected} of holders.values()) if (connected) count++;
  return count;
}

/** Takes back an entry's idle slots. Its running tasks keep theirs until they end. */
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

/** Computes what each entry would hold if all held the same. */
export function computeEvenShare(grants: SlotGrants): number {
  return Math.floor(grants.slots / Math.max(1, countConnected(grants)));
}

/** Counts the slots in use. */
export function countRunning({holders}: SlotGrants): number {
  let sum = 0;
  for (const {running} of holders.values()) sum += running;
  return sum;
}

/**
 * Moves a slot into use for a task that came as granted, or takes a free one.
 * `undefined` when there is none: the grant was void.
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
    `epoch ${epoch} has no task that could end`,
  );
  return putHolder(grants, {...holder, running: holder.running - 1});
}

/** Takes in `agent.reserve`. */
export function reserveSlots(
  grants: SlotGrants,
  epoch: Epoch,
  slots: number,
): SlotGrants {
  const holder = grants.holders.get(epoch);
  if (holder === undefined || !holder.connected) return grants;
  const first = holder.reserved === 0;
  return {
    ...putHolder(grants, {
      ...holder,
      reserved: holder.reserved + slots,
      reservedOrder: first ? grants.nextOrder : holder.reservedOrder,
    }),
    nextOrder: grants.nextOrder + 1,
  };
}

/** Takes in `agent.release`: withdraws reservations first, then takes idle slots back. */
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

/** Takes in how many tasks wait at an entry, from `agent.demand` or `agent.start`. */
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
    demandDeadline: now + limits.demandMs,
    pressedUntil: waiting > 0 ? now + limits.pressedMs : holder.pressedUntil,
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
    startDeadline: -Infinity,
    pressedUntil: -Infinity,
    recalled: 0,
    recallDueAt: -Infinity,
    reservedOrder: 0,
  };
}

/** Replaces one holder; one that is gone and has nothing running is forgotten. */
export function putHolder(grants: SlotGrants, holder: SlotHolder): SlotGrants {
  const holders = new Map(grants.holders);
  const spent = !holder.connected && holder.running === 0;
  if (spent) holders.delete(holder.epoch);
  else holders.set(holder.epoch, holder);
  return {...grants, holders};
}
