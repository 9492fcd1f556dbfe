import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import type {ExecutionContext} from 'ava';
import {request} from 'undici';
import {
  type Attempt,
  Caller,
  countOutcomes,
  describeExecutor,
  describeSite,
  type Fault,
  hasNoViolations,
  type JobRecord,
  type JournalLine,
  type RetryPolicy,
  type PlannedJob,
  readJournal,
  Site,
  type SiteOptions,
  waitUntil,
} from '#bench';
import {askPeer} from '../src/ask.js';

/** The part of an entry's status that tests read. */
export interface EntryStatus {
  readonly jobsInHand: number;
  /** Refusals since the entry started, by reason. */
  readonly refusals: Readonly<Record<string, number>>;
}

/** The limit of every wait; no assertion depends on it. */
export const maxWaitMs = 60_000;

/** Leases that do not expire within a test, even on a busy machine. */
export const longLeases = {
  entry_lease_ms: 20_000,
  target_lease_ms: 20_000,
  renewal_interval_ms: 500,
  clock_margin_ms: 100,
};

/** Entry leases short enough to expire within a test. */
export const shortEntryLeases = {...longLeases, entry_lease_ms: 2000};

/** Target leases short enough to expire within a test. */
export const shortTargetLeases = {...longLeases, target_lease_ms: 2000};

const retryPolicy: RetryPolicy = {maxAttempts: 100, maxPauseMs: 500};

/** Runs a small site behind fault proxies: by default 1 control, 2 entries and 2 executors of 8 slots. */
export class Harness {
  private readonly caller: Caller;

  private constructor(
    private readonly t: ExecutionContext,
    readonly site: Site,
  ) {
    this.caller = new Caller(site.entryUrls);
  }

  /** Starts a site that is stopped after the test; its data is kept when the test fails. */
  static async open(
    t: ExecutionContext,
    overrides: Partial<SiteOptions> = {},
  ): Promise<Harness> {
    const data = mkdtempSync(join(tmpdir(), 'wasabiring-proof-'));
    const site = await Site.start(
      describeSite(data, {
        controls: 1,
        targets: [describeExecutor('tally'), describeExecutor('tally')],
        proxied: true,
        leases: longLeases,
        ...overrides,
      }),
    );
    const harness = new Harness(t, site);
    t.teardown(async () => {
      await harness.caller[Symbol.asyncDispose]();
      await site[Symbol.asyncDispose]();
      if (t.passed) rmSync(data, {recursive: true});
    });
    await site.waitUntilReady(maxWaitMs);
    return harness;
  }

  /** Submits each job once to the entry with this index. */
  submitOnce(
    jobs: readonly PlannedJob[],
    entry: number,
  ): Promise<readonly JobRecord[]> {
    return Promise.all(
      jobs.map(async plan => ({
        plan,
        attempts: [await this.tryOnce(plan, entry)],
      })),
    );
  }

  /** Submits each job until it is answered, first to the entry with this index. */
  submitAll(
    jobs: readonly PlannedJob[],
    entry: number,
  ): Promise<readonly JobRecord[]> {
    return Promise.all(
      jobs.map(plan => this.caller.submit(plan, entry, retryPolicy)),
    );
  }

  tryOnce(plan: PlannedJob, entry: number): Promise<Attempt> {
    return this.caller.tryOnce(plan, this.site.entryUrls[entry]!);
  }

  /** Cancels a job through the entry with this index; true when it is answered as cancelled. */
  async cancel({key, team}: PlannedJob, entry: number): Promise<boolean> {
    const {body} = await request(
      `${this.site.entryUrls[entry]}/v1/jobs/${key}`,
      {method: 'DELETE', headers: {'wasabiring-team': team}},
    );
    const answer = (await body.json()) as {readonly reason?: string};
    return answer.reason === 'cancelled';
  }

  /** Reads the task starts recorded by all targets. */
  readStarts(): readonly JournalLine[] {
    return readJournal(this.site.journal);
  }

  waitUntil(name: string, condition: () => boolean | Promise<boolean>) {
    return waitUntil(name, maxWaitMs, condition);
  }

  /** Waits until the targets have recorded at least this many task starts in total. */
  waitForStarts(count: number): Promise<void> {
    return this.waitUntil(
      `${count} tasks started`,
      () => this.readStarts().length >= count,
    );
  }

  /** Waits until at least one task of every job has started. */
  waitForJobs(jobs: readonly PlannedJob[]): Promise<void> {
    return this.waitUntil('every job started', () => {
      const started = new Set(this.readStarts().map(({job}) => job));
      return jobs.every(({job}) => started.has(job));
    });
  }

  /** Waits until control lists this many targets. */
  waitForTargets(count: number): Promise<void> {
    return this.waitUntil(`control lists ${count} targets`, async () => {
      const status = await this.readControl();
      return status?.targets.length === count;
    });
  }

  /** Reads the status of the entry with this index. */
  async readEntry(entry: number): Promise<EntryStatus> {
    const response = await request(`${this.site.entryUrls[entry]!}/v1/status`);
    return (await response.body.json()) as EntryStatus;
  }

  /**
   * Waits until every target has handled what had reached it before the call, by sending it two
   * requests in sequence. A target reads what had reached it no later than it accepts the first of
   * them, so it has handled that once it answers the second.
   */
  async waitForDelivery(): Promise<void> {
    const targets = this.site.list('agent');
    for (let i = 0; i < 2; i++) {
      await Promise.all(targets.map(({name}) => this.site.readCounts(name)));
    }
  }

  /** Waits until control has ended the epoch of one of the two entries. */
  waitForEpochEnd(): Promise<void> {
    return this.waitUntil('one entry is left', async () => {
      const status = await this.readControl();
      return status?.entries.length === 1;
    });
  }

  /** Reads the status of the first control replica that answers. */
  private async readControl() {
    for (const {name} of this.site.list('control')) {
      const status = await this.askControl(name);
      if (status !== undefined) return status;
    }
    return undefined;
  }

  /** Asks a control replica for its status, bypassing its proxy; undefined without an answer. */
  askControl(name: string) {
    return askPeer(this.site.find(name).plan.listen, 'control.status', {});
  }

  /** Waits until a control replica other than `except` is the leader; returns its name. */
  async waitForLeader(except?: string): Promise<string> {
    let leader: string | undefined;
    await this.waitUntil('a control replica is the leader', async () => {
      for (const {name} of this.site.list('control')) {
        if (name === except) continue;
        if ((await this.askControl(name))?.role === 'leader') leader = name;
      }
      return leader !== undefined;
    });
    return leader!;
  }

  /** Injects a fault into the proxy of every agent. */
  injectAtAgents(fault: Fault): void {
    for (const {proxy} of this.site.list('agent')) proxy!.inject(fault);
  }

  /** Asserts that no guarantee is violated; returns the counts. */
  assertNoViolations(records: readonly JobRecord[]) {
    const counts = countOutcomes(this.readStarts(), records);
    this.t.true(hasNoViolations(counts), JSON.stringify(counts));
    return counts;
  }

  /** Asserts that every job is complete and each of its tasks started exactly once. */
  assertAllComplete(records: readonly JobRecord[]): void {
    const counts = this.assertNoViolations(records);
    const incomplete = records
      .filter(({attempts}) => attempts.at(-1)!.outcome.kind !== 'complete')
      .map(({attempts}) => attempts.map(({outcome}) => outcome));
    this.t.is(counts.complete, records.length, JSON.stringify(incomplete[0]));
    const tasks = records.flatMap(({plan}) => plan.tasks).length;
    const jobs = new Set(records.map(({plan}) => plan.job));
    const starts = this.readStarts().filter(({job}) => jobs.has(job));
    this.t.is(starts.length, tasks);
  }

  /** Asserts that every submission was answered. */
  assertAnswered(records: readonly JobRecord[]): void {
    const unanswered = records
      .flatMap(({attempts}) => attempts)
      .filter(({outcome}) => outcome.kind === 'unanswered');
    this.t.deepEqual(unanswered, []);
  }
}
