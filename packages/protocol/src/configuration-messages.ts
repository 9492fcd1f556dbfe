import type {
  RegionName,
  TeamHome,
  ConfigurationSource,
  VersionedSource,
} from '#model';

/**
 * Proposes a configuration. One control group is the origin of configuration and decides on changes;
 * the groups of other regions forward changes to it and take their configuration from it. Not to be
 * confused with `ConfigurationSource.origin`, the document of an external configuration system.
 */
export interface ApplyConfigParams {
  /** Chosen by the operator's tool; retries use the same id. */
  readonly changeId: string;
  /** The version that the change is based on; ignored if `source.origin` is set. */
  readonly expectedVersion: number;
  readonly author: string;
  readonly source: ConfigurationSource;
  /** Forwarded by a region's group; must not be forwarded again. */
  readonly forwarded?: boolean;
}

export type ApplyConfigResult =
  | {readonly kind: 'accepted'; readonly version: number}
  /** Another change was accepted first. */
  | {
      readonly kind: 'conflict';
      readonly version: number;
      readonly winner: string;
      readonly winnerChangeId: string;
    }
  /** The change is obsolete: `source.origin.version` is not higher than that of the configuration in force. */
  | {readonly kind: 'overtaken'; readonly version: number}
  | {readonly kind: 'invalid'; readonly errors: readonly string[]}
  /** The region's group got no definite answer from the origin; the change may have been accepted. */
  | {readonly kind: 'unknown'; readonly detail: string};

export interface ProcessConfigStatus {
  readonly process: string;
  readonly role: 'entry' | 'agent' | 'control';
  readonly version: number;
  /** Present while a control replica has not caught up with the leader: its version may be old. */
  readonly catchingUp?: true;
}

/** The home regions of a configuration's teams, where their jobs are admitted. */
export interface TeamHomes {
  /** True if the configuration has regions and states each team's home. Otherwise all homes are the group's own region. */
  readonly stated: boolean;
  readonly teams: readonly TeamHome[];
}

/** A region group's report to the origin, of bounded size however large the region is. */
export interface RegionReport {
  readonly region: RegionName;
  /** The version that the region's group has adopted. */
  readonly version: number;
  /** The lowest and highest versions that processes reported. */
  readonly lowest: number;
  readonly highest: number;
  /** Processes that reported a version. */
  readonly processes: number;
  /** Processes that hold leases but have not reported a version. */
  readonly silent: number;
  /** Some of the processes whose version is older than the group's. */
  readonly lagging: readonly string[];
}

export interface RegionStatus extends RegionReport {
  /** Time since the report arrived, in ms. */
  readonly ageMs: number;
}

/** State of the origin as known to a region's group. */
export interface UpstreamStatus {
  /** The newest version seen; 0 before the first. */
  readonly version: number;
  /** Time since the origin last answered, in ms; unset before its first answer. */
  readonly ageMs?: number;
}

export interface ConfigStatus {
  /** The region that the group serves. */
  readonly region: RegionName;
  readonly current: VersionedSource;
  readonly history: readonly Omit<VersionedSource, 'source'>[];
  /** All home regions that were ever in force. */
  readonly homes: TeamHomes;
  readonly processes: readonly ProcessConfigStatus[];
  /** The regions that follow this group. */
  readonly regions: readonly RegionStatus[];
  /** Set when this group follows another. */
  readonly upstream?: UpstreamStatus;
}
