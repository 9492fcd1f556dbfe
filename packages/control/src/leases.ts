import type {Instant} from '#model';

/**
 * Leases by holder, as the leader keeps them. A lease is granted until a deadline that only grows;
 * once it is found expired it is ending and cannot be renewed any more.
 */
export class LeaseTable<Holder> {
  private readonly deadlines = new Map<Holder, Instant>();
  private readonly ending = new Set<Holder>();

  /** Grants or extends a lease. Returns false when it is ending. */
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

  /** Forgets a holder that has no lease to lose any more. */
  drop(holder: Holder): void {
    this.deadlines.delete(holder);
    this.ending.delete(holder);
  }

  /** Marks the leases that have run out as ending and lists their holders. */
  expire(now: Instant): readonly Holder[] {
    const expired: Holder[] = [];
    for (const [holder, deadline] of this.deadlines) {
      if (deadline > now || this.ending.has(holder)) continue;
      this.ending.add(holder);
      expired.push(holder);
    }
    return expired;
  }

  /** Lists every holder. */
  list(): Iterable<Holder> {
    return this.deadlines.keys();
  }

  /** Drops every lease, as at the start of a term. */
  clear(): void {
    this.deadlines.clear();
    this.ending.clear();
  }
}
