import type {Clock, Instant, JobId, Submission, Epoch} from '#model';
import {computeDeadline} from '#model';
import type {AdmitResult, Admission, LookupResult} from '#protocol';
import {Batcher} from './batcher.js';
import type {ControlClient} from '#membership';

const maxBatchesInFlight = 4;
const maxBatch = 2000;
const requestTimeoutMs = 5000;

/**
 * Records jobs with control and looks them up, in batches. Results are undefined when control did
 * not answer.
 */
export class Registrar {
  private readonly admissions: Batcher<Admission, AdmitResult | undefined>;
  private readonly cancellations: Batcher<JobId, boolean>;
  private readonly lookups: Batcher<JobId, LookupResult | undefined>;

  constructor(
    private readonly control: Pick<ControlClient, 'request'>,
    private readonly clock: Clock,
  ) {
    this.admissions = new Batcher(
      items => this.sendAdmissions(items),
      maxBatchesInFlight,
      maxBatch,
    );
    this.cancellations = new Batcher(
      items => this.sendCancellations(items),
      maxBatchesInFlight,
      maxBatch,
    );
    this.lookups = new Batcher(
      items => this.sendLookups(items),
      maxBatchesInFlight,
      maxBatch,
    );
  }

  /**
   * Records an epoch as the owner of a job unless the job has a record. `startMs` is the time to
   * the deadline, `keepMs` the retention after it.
   */
  admit(
    submission: Submission,
    epoch: Epoch,
    ticket: number,
    startMs: number,
    keepMs: number,
  ): Promise<AdmitResult | undefined> {
    return this.admissions.add({
      job: submission.job,
      digest: submission.digest,
      epoch,
      tasks: submission.tasks.length,
      unrepeatable: submission.unrepeatable,
      ticket,
      startMs,
      keepMs: startMs + keepMs,
    });
  }

  /**
   * Records the cancellation of a job, after which none of its tasks may start; true once
   * committed.
   */
  cancel(job: JobId): Promise<boolean> {
    return this.cancellations.add(job);
  }

  /** Looks up the record of a job. */
  lookUp(job: JobId): Promise<LookupResult | undefined> {
    return this.lookups.add(job);
  }

  private async sendAdmissions(
    admissions: readonly Admission[],
  ): Promise<readonly (AdmitResult | undefined)[]> {
    const reply = await this.control.request(
      'control.admit',
      {admissions},
      this.getDeadline(),
    );
    return reply.orDefault([]);
  }

  private async sendCancellations(
    jobs: readonly JobId[],
  ): Promise<readonly boolean[]> {
    const reply = await this.control.request(
      'control.cancelJobs',
      {jobs},
      this.getDeadline(),
    );
    return jobs.map(() => reply.isRight());
  }

  private async sendLookups(
    jobs: readonly JobId[],
  ): Promise<readonly (LookupResult | undefined)[]> {
    const reply = await this.control.request(
      'control.lookup',
      {jobs},
      this.getDeadline(),
    );
    return reply.orDefault([]);
  }

  private getDeadline(): Instant {
    return computeDeadline(this.clock.now(), requestTimeoutMs);
  }
}
