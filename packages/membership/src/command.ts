import type {
  Address,
  ControlId,
  EntryId,
  Epoch,
  JobId,
  Location,
  TargetId,
  TargetInfo,
  VersionedSource,
} from '#model';
import type {
  Admission,
  AdmitResult,
  ApplyConfigParams,
  ApplyConfigResult,
  TeamHomes,
} from '#protocol';

import type {ChangeSummary} from './configure.js';
import type {EvacuationOrder} from './evacuations.js';

/**
 * Log time in ms, carried by each command; 0 when the group was formed.
 * A leader advances it by its monotonic clock from the last one applied. It does not advance
 * while there is no leader, so it never runs faster than a host's clock.
 */
export type LogTime = number;

/** A change of the replicated state, as stored in the log. */
export type Command = {readonly time: LogTime} & (
  | {
      readonly kind: 'open-entry';
      readonly entry: EntryId;
      readonly nonce: string;
      readonly address: Address;
      readonly place: Location;
    }
  | {readonly kind: 'close-entry'; readonly epoch: Epoch}
  | {readonly kind: 'end-epoch'; readonly epoch: Epoch}
  | {readonly kind: 'announce-target'; readonly target: TargetInfo}
  | {
      readonly kind: 'target-gone';
      readonly target: TargetId;
      readonly incarnation: number;
    }
  | {
      readonly kind: 'admit';
      /** The leader's wall clock, in ms since 1970. */
      readonly wallMs: number;
      readonly admissions: readonly Admission[];
    }
  /** Jobs whose tasks may not start any more; those without a record are ignored. */
  | {readonly kind: 'cancel-jobs'; readonly jobs: readonly JobId[]}
  | {readonly kind: 'forget'}
  /** Replicas that have log entries on disk. */
  | {readonly kind: 'note-members'; readonly members: readonly ControlId[]}
  | {
      readonly kind: 'configure';
      readonly change: ApplyConfigParams;
      /** The teams' home regions under the change; unset in logs written before regions existed. */
      readonly homes?: TeamHomes;
    }
  /** Adopts the configuration in force at the origin, if its version is newer than the one here. */
  | {
      readonly kind: 'adopt-configuration';
      readonly configuration: VersionedSource;
      /** The origin's changes that are newer than this group's, oldest first. */
      readonly history: readonly ChangeSummary[];
      readonly homes: TeamHomes;
    }
  | ({readonly kind: 'set-evacuation'} & EvacuationOrder)
);

/** The result of a command; the same on every replica. */
export type CommandResult =
  | {readonly kind: 'opened'; readonly epoch: Epoch}
  | {readonly kind: 'done'}
  /** A newer incarnation of the target is known. */
  | {readonly kind: 'superseded'}
  /** One result for each admission, in order. */
  | {readonly kind: 'admitted'; readonly results: readonly AdmitResult[]}
  /** The admission table is full; nothing of the batch was admitted. */
  | {readonly kind: 'full'}
  | {readonly kind: 'configured'; readonly result: ApplyConfigResult};
