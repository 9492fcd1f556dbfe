import type {Address, Capacity, Location, ServiceName} from '#model';

/** Where a process sends its metrics. */
export interface MetricsSettings {
  readonly host: string;
  readonly port: number;
  readonly prefix: string;
}

export interface EntryRole {
  readonly kind: 'entry';
  /** The address where callers connect over HTTP. */
  readonly http: Address;
  /** The address where other entries and the command line connect. */
  readonly listen: Address;
  /** The address announced to other processes; `listen` when omitted. */
  readonly advertise?: Address;
  /** How long a drain may take, in ms; jobs without an answer are then given up. */
  readonly drainMs: number;
}

export interface AgentRole {
  readonly kind: 'agent';
  /** The address where entries and the command line connect. */
  readonly listen: Address;
  /** The address announced to other processes; `listen` when omitted. */
  readonly advertise?: Address;
  readonly service: ServiceName;
  readonly capacity: Capacity;
  /** The base URL of the back end. */
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
  /**
   * The number of voters that the group keeps by itself, odd: caught-up learners take the place of
   * silent voters. Undefined when members change on an operator's command alone.
   */
  readonly voters?: number;
  /** Addresses of the group where configuration originates; undefined when it is this group. */
  readonly upstream?: readonly Address[];
}

export type Role = EntryRole | AgentRole | ControlRole;

/** The checked settings of one process. */
export interface ProcessSettings<OneRole extends Role = Role> {
  /** The name of the entry, target or control replica that this process is. */
  readonly id: string;
  readonly place: Location;
  /** The addresses where the control replicas listen. */
  readonly controls: readonly Address[];
  readonly logLevel: 'debug' | 'info' | 'warn' | 'error';
  readonly metrics?: MetricsSettings;
  /** Must be the same in every process of a site. */
  readonly leases: LeaseSettings;
  readonly role: OneRole;
}

/** All in ms. */
export interface LeaseSettings {
  readonly entryLeaseMs: number;
  readonly targetLeaseMs: number;
  readonly renewalIntervalMs: number;
  /** How far the clocks of two hosts may drift apart during one lease. */
  readonly clockMarginMs: number;
}
