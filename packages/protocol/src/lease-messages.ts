import type {
  Address,
  EntryId,
  Epoch,
  Place,
  TargetInfo,
  TargetId,
  TeamName,
} from '#model';

export interface OpenEntryParams {
  readonly entry: EntryId;
  /** Chosen anew by each process; a resend with the same one gets the same epoch while that lives. */
  readonly nonce?: string;
  readonly address: Address;
  readonly place: Place;
}

export interface LeaseGrant {
  readonly epoch: Epoch;
  /** Lease time from the sending of the request, in ms. */
  readonly leaseMs: number;
  readonly configVersion: number;
}

/** Whole tasks a second that each team was lately asked for; teams without demand are left out. */
export type TeamDemands = Readonly<Record<TeamName, number>>;

export interface RenewEntryParams {
  readonly entry: EntryId;
  readonly epoch: Epoch;
  readonly configVersion: number;
  /** What teams ask of this entry; unset when it was told lately. */
  readonly demands?: TeamDemands;
}

export type Renewal =
  | {
      readonly kind: 'renewed';
      readonly leaseMs: number;
      readonly configVersion: number;
      /** To an entry that told its demands: those of the other live ones, of the teams that it told of. */
      readonly demands?: Readonly<Record<EntryId, TeamDemands>>;
    }
  /** The lease ran out and its holder was replaced. It must not act again. */
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
