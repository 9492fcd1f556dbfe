import type {Clock, EntryId, Epoch, Instant, TargetId} from '#model';
import type {ProcessConfigStatus, TeamDemands} from '#protocol';
import type {LogTime} from '#membership';
import type {LeaseSettings} from '#settings';
import {LeaseTable} from './leases.js';
import type {Machine} from './machine.js';
import {RegionReports} from './region-reports.js';

/**
 * The soft state of a leader's term of office: leases, log time and what each process reports.
 * None of it is logged. A new term begins with a whole lease for every holder, counted from a
 * moment at which this replica led already, so no lease of the term before outlasts its own here.
 */
export class Office {
  readonly entries = new LeaseTable<Epoch>();
  readonly targets = new LeaseTable<TargetId>();
  /** What the groups that follow this one report. */
  readonly regions: RegionReports;
  private readonly reports = new Map<string, ProcessConfigStatus>();
  private readonly demands = new Map<Epoch, TeamDemands>();
  private term = 0;
  private baseTime: LogTime = 0;
  private baseInstant: Instant = 0;

  constructor(
    private readonly machine: Machine,
    private readonly leases: LeaseSettings,
    private readonly clock: Clock,
  ) {
    this.regions = new RegionReports(clock);
  }

  /** Begins a term unless it has begun. Called before anything else while this replica leads. */
  begin(term: number): void {
    if (term === this.term) return;
    this.term = term;
    this.entries.clear();
    this.targets.clear();
    this.reports.clear();
    this.regions.clear();
    this.demands.clear();
    this.baseTime = this.machine.state.time;
    this.baseInstant = this.clock.now();
  }

  /** Reads log time: it runs by this host's monotonic clock from the last command of the term before. */
  tellTime(): LogTime {
    const elapsedMs = Math.floor(this.clock.now() - this.baseInstant);
    return Math.max(this.machine.state.time, this.baseTime + elapsedMs);
  }

  /** Renews an entry's lease from now; false when it is over. */
  renewEntry(epoch: Epoch): boolean {
    if (!this.machine.state.epochs.live.has(epoch)) return false;
    return this.entries.renew(epoch, this.entryDeadline);
  }

  /** Renews a target's lease from now; false when it is over. */
  renewTarget(target: TargetId, incarnation: number): boolean {
    const known = this.machine.state.targets.get(target);
    if (known?.incarnation !== incarnation) return false;
    return this.targets.renew(target, this.targetDeadline);
  }

  /** Notes which configuration a process has in force. */
  report(status: ProcessConfigStatus): void {
    this.reports.set(status.process, status);
  }

  /** Lists the versions reported by the processes that hold leases. */
  listReports(): readonly ProcessConfigStatus[] {
    return [...this.reports.values()];
  }

  /** Notes what teams ask of an entry; returns what they ask of the other live ones. */
  exchangeDemands(
    epoch: Epoch,
    demands: TeamDemands,
  ): Readonly<Record<EntryId, TeamDemands>> {
    this.demands.set(epoch, demands);
    const {live} = this.machine.state.epochs;
    const others: Record<EntryId, TeamDemands> = {};
    for (const [other, told] of this.demands) {
      const entry = live.get(other)?.info.entry;
      if (entry === undefined) this.demands.delete(other);
      else if (other !== epoch) others[entry] = pickTeams(told, demands);
    }
    return others;
  }

  /** Gives each holder without a lease a whole one, and drops the leases of those that are gone. */
  matchLeases(): void {
    const {epochs, targets} = this.machine.state;
    for (const epoch of epochs.live.keys()) {
      this.entries.ensure(epoch, this.entryDeadline);
    }
    for (const target of targets.keys()) {
      this.targets.ensure(target, this.targetDeadline);
    }
    for (const epoch of [...this.entries.list()]) {
      if (!epochs.live.has(epoch)) this.entries.drop(epoch);
    }
    for (const target of [...this.targets.list()]) {
      if (!targets.has(target)) this.targets.drop(target);
    }
    this.dropReports();
  }

  private dropReports(): void {
    const {epochs, targets} = this.machine.state;
    const entries = new Set(
      [...epochs.live.values()].map(live => live.info.entry),
    );
    for (const [process, {role}] of this.reports) {
      const known =
        role === 'entry' ? entries.has(process) : targets.has(process);
      if (!known) this.reports.delete(process);
    }
  }

  private get entryDeadline(): Instant {
    const {entryLeaseMs, clockMarginMs} = this.leases;
    return this.clock.now() + entryLeaseMs + clockMarginMs;
  }

  private get targetDeadline(): Instant {
    const {targetLeaseMs, clockMarginMs} = this.leases;
    return this.clock.now() + targetLeaseMs + clockMarginMs;
  }
}

function pickTeams(told: TeamDemands, wanted: TeamDemands): TeamDemands {
  return Object.fromEntries(
    Object.entries(told).filter(([team]) => wanted[team] !== undefined),
  );
}
