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

/** What tests read of an entry's status. */
export interface EntryStatus {
  readonly jobsInHand: number;
  /** Refusals since the start by reason. */
  readonly refusals: Readonly<Record<string, number>>;
}

/** Bounds every wait; no test judges by it. */
export const guardMs = 60_000;

/** Leases that no busy machine lets run out. */
export const steadyLeases = {
  entry_lease_ms: 20_000,
  target_lease_ms: 20_000,
  renewal_interval_ms: 500,
  clock_margin_ms: 100,
};

/** Entry leases that run out within a test. */
export const shortEntryLeases = {...steadyLeases, entry_lease_ms: 2000};

/** Target leases that run out within a test. */
export const shortTargetLeases = {...steadyLeases, target_lease_ms: 2000};

const patient: RetryPolicy = {maxAttempts: 100, maxPauseMs: 500};

/** A small site behind fault proxies: 1 control, 2 entries and 2 executors of 8 slots. */
export class Stand {
  private readonly caller: Caller;

  private constructor(
    private readonly t: ExecutionContext,
    readonly site: Site,
  ) {
    this.caller = new Caller(site.entryUrls);
  }

  /** Starts a site that is stopped after the test; its logs stay when the test fails. */
  static async open(
    t: ExecutionContext,
    changes: Partial<SiteOptions> = {},
  ): Promise<Stand> {
    const data = mkdtempSync(join(tmpdir(), 'wasabiring-proof-'));
    const site = await Site.start(
      describeSite(data, {
        controls: 1,
        targets: [describeExecutor('tally'), describeExecutor('tally')],
        proxied: true,
        leases: steadyLeases,
        ...changes,
      }),
    );
    const stand = new Stand(t, site);
    t.teardown(async () => {
      await stand.caller[Symbol.asyncDispose]();
      await site[Symbol.asyncDispose]();
      if (t.passed) rmSync(data, {recursive: true});
    });
    await site.waitUntilReady(guardMs);
    return stand;
  }

  /** Submits each job once, at the entry with this index. */
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

  /** Submits each job until it is answered, first at the entry with this index. */
  submitAll(
    jobs: readonly PlannedJob[],
    entry: number,
  ): Promise<readonly JobRecord[]> {
    return Promise.all(
      jobs.map(plan => this.caller.submit(plan, entry, patient)),
    );
  }

  tryOnce(plan: PlannedJob, entry: number): Promise<Attempt> {
    return this.caller.tryOnce(plan, this.site.entryUrls[entry]!);
  }

  /** Cancels a job at the entry with this index; true when it is answered as cancelled. */
  async cancel({key, team}: PlannedJob, entry: number): Promise<boolean> {
    const {body} = await request(
      `${this.site.entryUrls[entry]}/v1/jobs/${key}`,
      {method: 'DELETE', headers: {'wasabiring-team': team}},
    );
    const answer = (await body.json()) as {readonly reason?: string};
    return answer.reason === 'cancelled';
  }

  /** Reads the task starts that targets have seen. */
  readStarts(): readonly JournalLine[] {
    return readJournal(this.site.journal);
  }

  waitUntil(name: string, holds: () => boolean | Promise<boolean>) {
    return waitUntil(name, guardMs, holds);
  }

  /** Waits until the targets have seen this many more starts than `before`. */
  waitForStarts(count: number): Promise<void> {
    return this.waitUntil(
      `${count} tasks started`,
      () => this.readStarts().length >= count,
    );
  }

  /** Waits until every job has a task that started. */
  waitForJobs(jobs: readonly PlannedJob[]): Promise<void> {
    return this.waitUntil('every job started', () => {
      const started = new Set(this.readStarts().map(({job}) => job));
      return jobs.every(({job}) => started.has(job));
    });
  }

  /** Waits until every entry sees this many targets. */
  waitForTargets(count: number): Promise<void> {
    return this.waitUntil(`every entry sees ${count} targets`, async () => {
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
   * Resolves once every target has read what was sent to it before the call: a
   * request that has reached it is read no later than the next one is accepted,
   * so that it is seen when a second one is answered.
   */
  async awaitTargets(): Promise<void> {
    const targets = this.site.list('agent');
    for (let i = 0; i < 2; i++) {
      await Promise.all(targets.map(({name}) => this.site.readCounts(name)));
    }
  }

  /** Waits until control has ended the epoch of one of the two entries. */
  waitForHeir(): Promise<void> {
    return this.waitUntil('one entry is left', async () => {
      const status = await this.readControl();
      return status?.entries.length === 1;
    });
  }

  /** Reads the status that the first answering control replica gives. */
  private async readControl() {
    for (const {name} of this.site.list('control')) {
      const status = await this.askControl(name);
      if (status !== undefined) return status;
    }
    return undefined;
  }

  /** Asks a control replica for its status, past its proxy. */
  askControl(name: string) {
    return askPeer(this.site.find(name).plan.listen, 'control.status', {});
  }

  /** Waits until a control replica other than `except` leads; returns its name. */
  async awaitLeader(except?: string): Promise<string> {
    let leader: string | undefined;
    await this.waitUntil('a control replica leads', async () => {
      for (const {name} of this.site.list('control')) {
        if (name === except) continue;
        if ((await this.askControl(name))?.role === 'leader') leader = name;
      }
      return leader !== undefined;
    });
    return leader!;
  }

  /** Puts a fault on every link between entries and agents. */
  injectAtAgents(fault: Fault): void {
    for (const {proxy} of this.site.list('agent')) proxy!.inject(fault);
  }

  /** Asserts that no promise is broken, and returns the counts. */
  assertSound(records: readonly JobRecord[]) {
    const counts = countOutcomes(this.readStarts(), records);
    this.t.true(hasNoViolations(counts), JSON.stringify(counts));
    return counts;
  }

  /** Asserts that every job has its whole answer and each of its tasks started exactly once. */
  assertAllComplete(records: readonly JobRecord[]): void {
    const counts = this.assertSound(records);
    const ends = records
      .filter(({attempts}) => attempts.at(-1)!.outcome.kind !== 'complete')
      .map(({attempts}) => attempts.map(({outcome}) => outcome));
    this.t.is(counts.complete, records.length, JSON.stringify(ends[0]));
    const tasks = records.flatMap(({plan}) => plan.tasks).length;
    const jobs = new Set(records.map(({plan}) => plan.job));
    const starts = this.readStarts().filter(({job}) => jobs.has(job));
    this.t.is(starts.length, tasks);
  }

  /** Asserts that every submission was answered. */
  assertAnswered(records: readonly JobRecord[]): void {
    const silent = records
      .flatMap(({attempts}) => attempts)
      .filter(({outcome}) => outcome.kind === 'unanswered');
    this.t.deepEqual(silent, []);
  }
}
