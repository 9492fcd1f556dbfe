import {createHash} from 'node:crypto';

/** A string type that the compiler distinguishes by kind, at no run-time cost. */
export type Branded<Kind extends string> = string & {readonly brand?: Kind};

/** Permanent id of a job, derived from the team and the caller's key. */
export type JobId = Branded<'job'>;
/** Identifies an entry host across restarts of its process. */
export type EntryId = Branded<'entry'>;
/** Identifies the back end on a target host. */
export type TargetId = Branded<'target'>;
/** Identifies a control replica's disk contents; a replaced disk gets a new id. */
export type ControlId = Branded<'control'>;
export type TeamName = Branded<'team'>;
export type ServiceName = Branded<'service'>;
export type SiteName = Branded<'site'>;
export type RegionName = Branded<'region'>;
export type FailureDomain = Branded<'failure domain'>;

/** `host:port`, where the host is an IP address. */
export type Address = Branded<'address'>;

/** Number of a period in which an entry process holds a lease. All entries of a control group share one sequence; never reused. */
export type Epoch = number;

/** One task of a job. Task indices start at 0, in the order submitted. */
export interface TaskRef {
  readonly job: JobId;
  readonly task: number;
}

const hashHexDigits = 32;

/** Derives a job's id, the same at every entry for the same team and key. */
export function deriveJobId(team: TeamName, key: string): JobId {
  return createHash('sha256')
    .update(team)
    .update('\0')
    .update(key)
    .digest('hex')
    .slice(0, hashHexDigits);
}

/** Computes the digest that distinguishes a resubmission from a reused key. */
export function computeDigest(
  service: ServiceName,
  unrepeatable: boolean,
  tasks: readonly TaskSpec[],
): string {
  return createHash('sha256')
    .update(JSON.stringify([service, unrepeatable, tasks]))
    .digest('hex')
    .slice(0, hashHexDigits);
}

/** A task as the caller specifies it. The payload is opaque to the system. */
export interface TaskSpec {
  readonly payload: unknown;
  /** The caller's run time estimate in ms; only a hint. */
  readonly expectedMs?: number;
}
