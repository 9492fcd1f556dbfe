import type {
  Address,
  ControlId,
  EntryId,
  Epoch,
  JobId,
  Place,
  TargetId,
  TargetInfo,
  VersionedSource,
} from '#model';
import type {
  Admission,
  AdmitResult,
  ApplyConfigParams,
  ApplyConfigResult,
  Homes,
} from '#protocol';

import type {ChangeSummary} from './configure.js';

/**
 * Log time in ms: 0 when the group was formed, carried by each command.
 * A leader advances it by its monotonic clock from the last one applied; it stands still
 * while there is no leader, so that it never runs ahead of any host's clock.
 */
export type LogTime = number;

/** A change of the replicated state, as the log holds it. */
export type Command = {readonly time: LogTime} & (
  | {
      readonly kind: 'open-entry';
      readonly entry: EntryId;
      readonly nonce: string;
      readonly address: Address;
      readonly place: Place;
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
  /** Jobs of which nothing starts any more; those without a record are passed over. */
  | {readonly kind: 'cancel-jobs'; readonly jobs: readonly JobId[]}
  | {readonly kind: 'forget'}
  /** Replicas that have log entries on their disks. */
  | {readonly kind: 'note-members'; readonly members: readonly ControlId[]}
  | {
      readonly kind: 'configure';
      readonly change: ApplyConfigParams;
      /** Where the change admits jobs; unset in logs from before there were regions. */
      readonly homes?: Homes;
    }
  /** Takes over what is in force at the origin, unless it is as new here. */
  | {
      readonly kind: 'adopt-configuration';
      readonly configuration: VersionedSource;
      /** The origin's changes that are newer than this group's, oldest first. */
      readonly history: readonly ChangeSummary[];
      readonly homes: Homes;
    }
);

/** What a command came to; the same on every replica. */
export type CommandResult =
  | {readonly kind: 'opened'; readonly epoch: Epoch}
  | {readonly kind: 'done'}
  /** A newer incarnation of the target is known. */
  | {readonly kind: 'superseded'}
  /** One for each admission, in order. */
  | {readonly kind: 'admitted'; readonly results: readonly AdmitResult[]}
  /** The table of admissions has no room; nothing of the batch was admitted. */
  | {readonly kind: 'full'}
  | {readonly kind: 'configured'; readonly result: ApplyConfigResult};
