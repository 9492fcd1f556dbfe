import {createHash} from 'node:crypto';

/** A string whose kind is checked by the compiler and costs nothing at run time. */
export type Branded<Kind extends string> = string & {readonly brand?: Kind};

/** Names one job for all time: derived from the team and the caller's key. */
export type JobId = Branded<'job'>;
/** Names an entry host, not its process: it outlives restarts. */
export type EntryId = Branded<'entry'>;
/** Names a target host's back end. */
export type TargetId = Branded<'target'>;
/** Names one life of a control replica's disk. A replaced disk has a new one. */
export type ControlId = Branded<'control'>;
export type TeamName = Branded<'team'>;
export type ServiceName = Branded<'service'>;
export type SiteName = Branded<'site'>;
export type RegionName = Branded<'region'>;
export type FailureDomain = Branded<'failure domain'>;

/** `host:port`, the host an IP number. */
export type Address = Branded<'address'>;

/** Grows by one at each start of an entry process; never reused. */
export type Epoch = number;

/** One task of a job: the index counts from 0 in the order submitted. */
export interface TaskRef {
  readonly job: JobId;
  readonly task: number;
}

const jobIdHexDigits = 32;

/** Derives a job's id. The same team and key give the same id at every entry. */
export function deriveJobId(team: TeamName, key: string): JobId {
  return createHash('sha256')
    .update(team)
    .update('\0')
    .update(key)
    .digest('hex')
    .slice(0, jobIdHexDigits);
}

/** Computes the digest by which a resubmission is told from a reused key. */
export function computeDigest(
  service: ServiceName,
  unrepeatable: boolean,
  tasks: readonly TaskSpec[],
): string {
  return createHash('sha256')
    .update(JSON.stringify([service, unrepeatable, tasks]))
    .digest('hex')
    .slice(0, jobIdHexDigits);
}

/** What a caller asks of one task. The payload is opaque to the system. */
export interface TaskSpec {
  readonly payload: unknown;
  /** The caller's estimate of the run time in ms; a hint only. */
  readonly expectedMs?: number;
}
