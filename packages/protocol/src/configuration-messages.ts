import type {ConfigurationSource, VersionedSource} from '#model';

export interface ApplyConfigParams {
  /** Chosen by the operator's tool; a resend carries the same one. */
  readonly changeId: string;
  /** The version that the change builds on. */
  readonly expectedVersion: number;
  readonly author: string;
  readonly source: ConfigurationSource;
}

export type ApplyConfigResult =
  | {readonly kind: 'accepted'; readonly version: number}
  /** Another change got there first. */
  | {
      readonly kind: 'conflict';
      readonly version: number;
      readonly winner: string;
      readonly winnerChangeId: string;
    }
  | {readonly kind: 'invalid'; readonly errors: readonly string[]};

export interface ProcessConfigStatus {
  readonly process: string;
  readonly role: 'entry' | 'agent' | 'control';
  readonly version: number;
}

export interface ConfigStatus {
  readonly current: VersionedSource;
  readonly history: readonly Omit<VersionedSource, 'source'>[];
  readonly processes: readonly ProcessConfigStatus[];
}
