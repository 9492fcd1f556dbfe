import type {ControlId, Instant} from '#model';
import type {RecoveredState} from './entry.js';
import type {Members} from './member.js';
import type {ReplicaOptions} from './options.js';
import type {Effect, Input, Role} from './transition.js';

export interface MemberProgress {
  readonly id: ControlId;
  readonly voter: boolean;
  /** The last index known to be on the member's disk; 0 where unknown. */
  readonly matchIndex: number;
}

/** A replica as it stands. */
export interface ReplicaStatus {
  readonly id: ControlId;
  readonly role: Role;
  readonly term: number;
  readonly leader?: ControlId;
  readonly lastIndex: number;
  readonly commitIndex: number;
  readonly members: Members;
  /** Known by the leader only. */
  readonly progress: readonly MemberProgress[];
}

/** One replica of a replicated log: inputs in, effects out. It has no clock and no I/O. */
export class Replica {
  constructor(
    readonly options: ReplicaOptions,
    recovered: RecoveredState,
    now: Instant,
  ) {
    void [recovered, now];
  }

  /** When the next `tick` is due. */
  get wakeAt(): Instant {
    throw new Error('not written yet');
  }

  /** Describes the replica. */
  describeStatus(): ReplicaStatus {
    throw new Error('not written yet');
  }

  /** Takes one input; the effects must be carried out in order. */
  step(input: Input, now: Instant): readonly Effect[] {
    void [input, now];
    return [];
  }
}
