import type {Epoch} from '#model';

/** What one connected entry holds and wants of an agent's slots. */
export interface Claimant {
  readonly epoch: Epoch;
  /** Tasks running for the entry. */
  readonly running: number;
  /** Tasks that wait at the entry for a slot. */
  readonly waiting: number;
}

/**
 * Divides slots among entries: first max-min fair by what each can use at
 * once, then the rest evenly, so that every entry has some ahead.
 * The shares add up to `slots` unless nobody is connected.
 */
export function divideSlots(
  slots: number,
  claimants: readonly Claimant[],
): ReadonlyMap<Epoch, number> {
  const shares = new Map(claimants.map(({epoch}) => [epoch, 0]));
  let left = slots;
  let hungry = [...claimants];
  while (left > 0 && hungry.length > 0) {
    const portion = Math.max(1, Math.floor(left / hungry.length));
    for (const {epoch, running, waiting} of hungry) {
      const share = shares.get(epoch)!;
      const part = Math.min(portion, left, running + waiting - share);
      shares.set(epoch, share + part);
      left -= part;
    }
    hungry = hungry.filter(
      ({epoch, running, waiting}) => shares.get(epoch)! < running + waiting,
    );
  }
  claimants.forEach(({epoch}, i) => {
    const part = Math.ceil(left / (claimants.length - i));
    shares.set(epoch, shares.get(epoch)! + part);
    left -= part;
  });
  return shares;
}
