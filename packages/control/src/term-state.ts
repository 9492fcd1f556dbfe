import type {Clock, EntryId, Epoch, Instant, TargetId} from '#model';
import type {ProcessConfigStatus, TeamDemands} from '#protocol';
import type {LogTime} from '#membership';
import type {LeaseSettings} from '#settings';
import {LeaseTable} from './leases.js';
import type {ControlMachine} from './state-machine.js';
import {RegionReports} from './region-reports.js';

/**
 * A leader's in-memory state for its current term: leases, log time and the reports of processes.
 * None of it is written to the log. In a new term every holder gets a full lease, counted from a
 * time at which this replica already led, so that it ends no earlier than one from an earlier term.
 */
export class TermState {
  readonly entryLeases = new LeaseTable<Epoch>();
  readonly targetLeases = new LeaseTable<TargetId>();
  /** Reports of the groups that take their configuration from this one. */
  readonly regions: RegionReports;
  private readonly reports = new Map<string, ProcessConfigStatus>();
  private readonly demands = new Map<Epoch, TeamDemands>();
  private term = 0;
  private termStartTime: LogTime = 0;
  private termStartInstant: Instant = 0;

  constructor(
    private readonly machine: ControlMachine,
    private readonly leases: LeaseSettings,
    private readonly clock: Clock,
  ) {
    this.regions = new RegionReports(clock);
  }

  /** Resets the state if the term is new. Must be called before any other use while this replica leads. */
  enter(term: number): void {
    if (term === this.term) return;
    this.term = term;
    this.entryLeases.clear();
    this.targetLeases.clear();
    this.reports.clear();
    this.regions.clear();
    this.demands.clear();
    this.termStartTime = this.machine.state.time;
    this.termStartInstant = this.clock.now();
  }

  /** Returns log time: the last one applied before the term, advanced by this host's monotonic clock. */
  readLogTime(): LogTime {
    const elapsedMs = Math.floor(this.clock.now() - this.termStartInstant);
    return Math.max(this.machine.state.time, this.termStartTime + elapsedMs);
  }

  /** Renews an entry's lease from now; false when the epoch or its lease has ended. */
  renewEntry(epoch: Epoch): boolean {
    if (!this.machine.state.epochs.live.has(epoch)) return false;
    return this.entryLeases.renew(epoch, this.entryDeadline);
  }

  /** Renews a target's lease from now; false when the incarnation is not current or its lease has ended. */
  renewTarget(target: TargetId, incarnation: number): boolean {
    const known = this.machine.state.targets.get(target);
    if (known?.incarnation !== incarnation) return false;
    return this.targetLeases.renew(target, this.targetDeadline);
  }

  /** Records the configuration version that a process has in force. */
  report(status: ProcessConfigStatus): void {
    this.reports.set(status.process, status);
  }

  /** Lists the configuration versions reported by entries and agents. */
  listReports(): readonly ProcessConfigStatus[] {
    return [...this.reports.values()];
  }

  /** Records the teams' demands at an entry; returns the same teams' demands at the other live entries. */
  exchangeDemands(
    epoch: Epoch,
    demands: TeamDemands,
  ): Readonly<Record<EntryId, TeamDemands>> {
    this.demands.set(epoch, demands);
    const {live} = this.machine.state.epochs;
    const others: Record<EntryId, TeamDemands> = {};
    for (const [other, reported] of this.demands) {
      const entry = live.get(other)?.info.entry;
      if (entry === undefined) this.demands.delete(other);
      else if (other !== epoch) others[entry] = pickTeams(reported, demands);
    }
    return others;
  }

  /** Grants a full lease to each holder without one; drops leases and reports of processes that are gone. */
  syncLeases(): void {
    const {epochs, targets} = this.machine.state;
    for (const epoch of epochs.live.keys()) {
      this.entryLeases.ensure(epoch, this.entryDeadline);
    }
    for (const target of targets.keys()) {
      this.targetLeases.ensure(target, this.targetDeadline);
    }
    for (const epoch of [...this.entryLeases.list()]) {
      if (!epochs.live.has(epoch)) this.entryLeases.drop(epoch);
    }
    for (const target of [...this.targetLeases.list()]) {
      if (!targets.has(target)) this.targetLeases.drop(target);
    }
    this.dropStaleReports();
  }

  private dropStaleReports(): void {
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

function pickTeams(reported: TeamDemands, wanted: TeamDemands): TeamDemands {
  return Object.fromEntries(
    Object.entries(reported).filter(([team]) => Object.hasOwn(wanted, team)),
  );
}
