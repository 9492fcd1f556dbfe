import type {Instant} from '#model';

/**
 * The leases that the leader has granted, by holder. The deadline of a lease never decreases; once
 * the lease is found expired it is ending and can no longer be renewed.
 */
export class LeaseTable<Holder> {
  private readonly deadlines = new Map<Holder, Instant>();
  private readonly ending = new Set<Holder>();

  /** Grants or extends a lease; returns false when it is ending. */
  renew(holder: Holder, deadline: Instant): boolean {
    if (this.ending.has(holder)) return false;
    const granted = this.deadlines.get(holder) ?? deadline;
    this.deadlines.set(holder, Math.max(granted, deadline));
    return true;
  }

  /** Grants a lease to a holder that has none. */
  ensure(holder: Holder, deadline: Instant): void {
    if (!this.deadlines.has(holder)) this.deadlines.set(holder, deadline);
  }

  /** True once the lease was found expired. */
  isEnding(holder: Holder): boolean {
    return this.ending.has(holder);
  }

  /** Removes a holder and its lease, ending or not; the holder may then be granted a new one. */
  drop(holder: Holder): void {
    this.deadlines.delete(holder);
    this.ending.delete(holder);
  }

  /** Marks newly expired leases as ending and returns their holders. */
  expire(now: Instant): readonly Holder[] {
    const expired: Holder[] = [];
    for (const [holder, deadline] of this.deadlines) {
      if (deadline > now || this.ending.has(holder)) continue;
      this.ending.add(holder);
      expired.push(holder);
    }
    return expired;
  }

  /** Lists every holder, those of ending leases included. */
  list(): Iterable<Holder> {
    return this.deadlines.keys();
  }

  /** Drops every lease, as at the start of a term. */
  clear(): void {
    this.deadlines.clear();
    this.ending.clear();
  }
}
