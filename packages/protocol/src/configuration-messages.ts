import type {
  RegionName,
  TeamHome,
  ConfigurationSource,
  VersionedSource,
} from '#model';

export interface ApplyConfigParams {
  /** Chosen by the operator's tool; a resend carries the same one. */
  readonly changeId: string;
  /** The version that the change builds on; not looked at when the source has an origin. */
  readonly expectedVersion: number;
  readonly author: string;
  readonly source: ConfigurationSource;
  /** Comes from a region's group, and is not passed to a third one. */
  readonly forwarded?: boolean;
}

export type ApplyConfigResult =
  | {readonly kind: 'accepted'; readonly version: number}
  /** Another change got there first. */
  | {
      readonly kind: 'conflict';
      readonly version: number;
      readonly winner: string;
      readonly winnerChangeId: string;
    }
  /** The origin's version in force is as high as the change's, which is obsolete. */
  | {readonly kind: 'overtaken'; readonly version: number}
  | {readonly kind: 'invalid'; readonly errors: readonly string[]}
  /** The origin could not be asked through this group: the change may have been accepted or not. */
  | {readonly kind: 'unknown'; readonly detail: string};

export interface ProcessConfigStatus {
  readonly process: string;
  readonly role: 'entry' | 'agent' | 'control';
  readonly version: number;
}

/** Where the jobs of a configuration's teams are admitted. */
export interface Homes {
  /** The configuration has regions and states each team's home. Otherwise every home is the group's own region. */
  readonly stated: boolean;
  readonly teams: readonly TeamHome[];
}

/** What a region's group reports to the origin: bounded, whatever the region's size. */
export interface RegionReport {
  readonly region: RegionName;
  /** The version that the region's group has adopted. */
  readonly version: number;
  /** The lowest and the highest version that a process reported. */
  readonly lowest: number;
  readonly highest: number;
  /** Processes that reported a version. */
  readonly processes: number;
  /** Processes that hold leases and have not reported. */
  readonly silent: number;
  /** Some of those whose version is older than the group's. */
  readonly lagging: readonly string[];
}

export interface RegionStatus extends RegionReport {
  /** Since the report came, in ms. */
  readonly ageMs: number;
}

/** What a region's group knows of the origin. */
export interface UpstreamStatus {
  /** The newest version seen; 0 before the first. */
  readonly version: number;
  /** Since the origin last answered, in ms; unset before the first time. */
  readonly ageMs?: number;
}

export interface ConfigStatus {
  /** The region that the group serves. */
  readonly region: RegionName;
  readonly current: VersionedSource;
  readonly history: readonly Omit<VersionedSource, 'source'>[];
  /** Every home that was ever in force. */
  readonly homes: Homes;
  readonly processes: readonly ProcessConfigStatus[];
  /** The regions that follow this group. */
  readonly regions: readonly RegionStatus[];
  /** Set when this group follows another. */
  readonly upstream?: UpstreamStatus;
}
