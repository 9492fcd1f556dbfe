import type {
  Address,
  EndedEpoch,
  EntryInfo,
  Epoch,
  FailureDomain,
  TargetInfo,
  TargetId,
  VersionedSource,
} from '#model';

/** Subscribes to the view, which control pushes in full or as changes since the receiver's revision. */
export interface WatchParams {
  /** The last revision seen; 0 for none. */
  readonly since: number;
  /** Agents watch `configuration`, dispatchers in agent processes `targets`, and entries `all`. */
  readonly topics: 'all' | 'configuration' | 'targets';
}

export interface ControlsParams {
  readonly controls: readonly Address[];
}

/** An ended incarnation of an agent. The tasks it started can no longer be queried. */
export interface GoneTarget {
  readonly target: TargetId;
  readonly incarnation: number;
  /** The log index of its removal. */
  readonly revision: number;
}

export interface View {
  readonly targets: readonly TargetInfo[];
  /**
   * Agent incarnations that ended within the retention period, restarts
   * included. A successor may start a task that no agent reported only if none of
   * these ended at or after the job's admission.
   */
  readonly gone: readonly GoneTarget[];
  readonly entries: readonly EntryInfo[];
  readonly ended: readonly EndedEpoch[];
  readonly configuration: VersionedSource;
  /** Failure domains in which no task may start; unset by builds without evacuations. */
  readonly evacuated?: readonly FailureDomain[];
}

export type ViewChange =
  | {readonly kind: 'target-joined'; readonly target: TargetInfo}
  | {readonly kind: 'target-gone'; readonly gone: GoneTarget}
  /** Removes ended incarnations up to this revision: control keeps no job admitted before they ended. */
  | {readonly kind: 'gone-forgotten'; readonly untilRevision: number}
  | {readonly kind: 'entry-opened'; readonly entry: EntryInfo}
  | {readonly kind: 'epoch-ended'; readonly ended: EndedEpoch}
  /** Control no longer keeps any job of this ended epoch. */
  | {readonly kind: 'epoch-forgotten'; readonly epoch: Epoch}
  | {readonly kind: 'configured'; readonly configuration: VersionedSource}
  /** No task may start in the domain any more. */
  | {readonly kind: 'domain-evacuated'; readonly domain: FailureDomain}
  | {readonly kind: 'domain-restored'; readonly domain: FailureDomain};

export type ViewUpdate =
  | {readonly kind: 'full'; readonly revision: number; readonly view: View}
  | {
      readonly kind: 'delta';
      readonly from: number;
      readonly revision: number;
      readonly changes: readonly ViewChange[];
    };
