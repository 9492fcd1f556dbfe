import type {Address, Capacity, Place, ServiceName} from '#model';

/** Where a process sends its metrics. */
export interface MetricsSettings {
  readonly host: string;
  readonly port: number;
  readonly prefix: string;
}

export interface EntryRole {
  readonly kind: 'entry';
  /** Where callers connect, by HTTP. */
  readonly http: Address;
  /** Where other entries and the command line connect. */
  readonly listen: Address;
  /** Where others are told to connect, when not at `listen` itself. */
  readonly advertise?: Address;
  /** How long a drain may take before it ends with the outcomes recorded, in ms. */
  readonly drainMs: number;
}

export interface AgentRole {
  readonly kind: 'agent';
  /** Where entries and the command line connect. */
  readonly listen: Address;
  /** Where others are told to connect, when not at `listen` itself. */
  readonly advertise?: Address;
  readonly service: ServiceName;
  readonly capacity: Capacity;
  /** Base URL of the back end. */
  readonly url: string;
  readonly drainMs: number;
}

export interface ControlMember {
  readonly member: string;
  readonly address: Address;
}

export interface ControlRole {
  readonly kind: 'control';
  readonly listen: Address;
  /** The folder for the log and snapshots. */
  readonly data: string;
  /** The voters of a new group; ignored once the data folder holds a log. */
  readonly members: readonly ControlMember[];
  /** Starts with an empty log as a learner of a running group. */
  readonly join: boolean;
  /** Where the group that is the origin of configuration listens; unset when this group is. */
  readonly upstream?: readonly Address[];
}

export type Role = EntryRole | AgentRole | ControlRole;

/** Settings of one process, checked. */
export interface ProcessSettings<OneRole extends Role = Role> {
  /** The name of the entry, target or control replica that this process is. */
  readonly id: string;
  readonly place: Place;
  /** Where the control replicas listen. */
  readonly controls: readonly Address[];
  readonly logLevel: 'debug' | 'info' | 'warn' | 'error';
  readonly metrics?: MetricsSettings;
  /** Bounds of the leases; the same in every process of a site. */
  readonly leases: LeaseSettings;
  readonly role: OneRole;
}

/** All in ms. */
export interface LeaseSettings {
  readonly entryLeaseMs: number;
  readonly targetLeaseMs: number;
  readonly renewalIntervalMs: number;
  /** How far two hosts' clocks may drift apart over one lease. */
  readonly clockMarginMs: number;
}
