import type {
  Address,
  EntryId,
  Epoch,
  Location,
  TargetInfo,
  TargetId,
  TeamName,
} from '#model';

export interface OpenEntryParams {
  readonly entry: EntryId;
  /** Unique to each process; a retry with the same nonce gets the same epoch while that epoch is live. */
  readonly nonce?: string;
  readonly address: Address;
  readonly place: Location;
}

export interface LeaseGrant {
  readonly epoch: Epoch;
  /** Lease duration, counted from when the request was sent, in ms. */
  readonly leaseMs: number;
  readonly configVersion: number;
}

/** Recent demand by team, in whole tasks per second; teams without demand are omitted. */
export type TeamDemands = Readonly<Record<TeamName, number>>;

export interface RenewEntryParams {
  readonly entry: EntryId;
  readonly epoch: Epoch;
  readonly configVersion: number;
  /** Team demand at this entry; unset if reported recently. */
  readonly demands?: TeamDemands;
}

export type Renewal =
  | {
      readonly kind: 'renewed';
      readonly leaseMs: number;
      readonly configVersion: number;
      /** For an entry that reported its demands: the other live entries' demands of the same teams. */
      readonly demands?: Readonly<Record<EntryId, TeamDemands>>;
    }
  /** The epoch or incarnation is no longer live, or its lease has expired: the holder must not act under it any more. */
  | {readonly kind: 'ended'};

export interface CloseEntryParams {
  readonly entry: EntryId;
  readonly epoch: Epoch;
}

export interface AnnounceParams {
  readonly target: TargetInfo;
  readonly configVersion: number;
}

export interface RenewTargetParams {
  readonly target: TargetId;
  readonly incarnation: number;
  readonly configVersion: number;
}

export interface WithdrawParams {
  readonly target: TargetId;
  readonly incarnation: number;
}
