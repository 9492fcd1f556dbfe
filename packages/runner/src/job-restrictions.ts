import {type JobId, RecentMap} from '#model';

/** Capacity. It suffices because jobs change their dispatcher only after a fault. */
const maxRestrictions = 4096;

/** Jobs that only one dispatcher may place on this target. At capacity the oldest are dropped. */
export class JobRestrictions {
  private readonly allowed = new RecentMap<JobId, string>(maxRestrictions);

  /** Restricts a job to one dispatcher. */
  set(job: JobId, dispatcher: string): void {
    this.allowed.set(job, dispatcher);
  }

  /** True when the job is restricted to another dispatcher. */
  isExcluded(job: JobId, dispatcher: string): boolean {
    const allowed = this.allowed.get(job);
    return allowed !== undefined && allowed !== dispatcher;
  }
}
