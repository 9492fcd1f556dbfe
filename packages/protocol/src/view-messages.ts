import type {
  EndedEpoch,
  EntryInfo,
  Epoch,
  TargetInfo,
  TargetId,
  VersionedSource,
} from '#model';

/** The view that control pushes: complete, or the changes since the receiver's revision. */
export interface WatchParams {
  /** The last revision seen; 0 for none. */
  readonly since: number;
  /** Agents watch the configuration, and dispatchers beside them the targets. */
  readonly topics: 'all' | 'configuration' | 'targets';
}

/** A life of an agent that is over. What it started cannot be asked for any more. */
export interface GoneTarget {
  readonly target: TargetId;
  readonly incarnation: number;
  /** The log index at which it went. */
  readonly revision: number;
}

export interface View {
  readonly targets: readonly TargetInfo[];
  /**
   * Lives of agents that ended within the last retention period, also by
   * a restart. An heir may start a task that nobody reported only when none
   * of these went at or after the job's admission.
   */
  readonly gone: readonly GoneTarget[];
  readonly entries: readonly EntryInfo[];
  readonly ended: readonly EndedEpoch[];
  readonly configuration: VersionedSource;
}

export type ViewChange =
  | {readonly kind: 'target-joined'; readonly target: TargetInfo}
  | {readonly kind: 'target-gone'; readonly gone: GoneTarget}
  /** Control keeps no job admitted before these lives went, up to this revision. */
  | {readonly kind: 'gone-forgotten'; readonly untilRevision: number}
  | {readonly kind: 'entry-opened'; readonly entry: EntryInfo}
  | {readonly kind: 'epoch-ended'; readonly ended: EndedEpoch}
  /** Control keeps no job of this ended epoch any more. */
  | {readonly kind: 'epoch-forgotten'; readonly epoch: Epoch}
  | {readonly kind: 'configured'; readonly configuration: VersionedSource};

export type ViewUpdate =
  | {readonly kind: 'full'; readonly revision: number; readonly view: View}
  | {
      readonly kind: 'delta';
      readonly from: number;
      readonly revision: number;
      readonly changes: readonly ViewChange[];
    };
