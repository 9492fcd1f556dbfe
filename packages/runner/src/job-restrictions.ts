import {type JobId, RecentMap} from '#model';

/** Bars kept: jobs change their dispatcher only after a fault. */
const maxBars = 4096;

/** Jobs that one dispatcher alone may place here. The oldest are forgotten first. */
export class Bars {
  private readonly allowed = new RecentMap<JobId, string>(maxBars);

  /** Bars a job for all dispatchers but one. */
  set(job: JobId, dispatcher: string): void {
    this.allowed.set(job, dispatcher);
  }

  /** True when a dispatcher may not place the job. */
  isBarred(job: JobId, dispatcher: string): boolean {
    const allowed = this.allowed.get(job);
    return allowed !== undefined && allowed !== dispatcher;
  }
}
