import type {FailureDomain} from '#model';

/** Evacuates a failure domain, so that no task starts there any more, or takes it back. */
export interface SetEvacuationParams {
  readonly domain: FailureDomain;
  readonly evacuated: boolean;
  /** Chosen by the operator's tool. A repeated order with the same id has no second effect. */
  readonly changeId?: string;
}

export type SetEvacuationResult =
  /** The order is durable; also when the domain already was as ordered. */
  | {readonly kind: 'done'}
  /** No entry or target of this group was ever in such a domain. */
  | {readonly kind: 'unknown-domain'};

/** A failure domain that the group knows. */
export interface DomainStatus {
  readonly domain: FailureDomain;
  readonly evacuated: boolean;
  /** Targets in the domain that hold leases. */
  readonly targets: number;
  /** Live entries in the domain. */
  readonly entries: number;
}

/** The state of evacuations, at least as recent as the request. */
export interface EvacuationStatus {
  /** The number of changes that had an effect. */
  readonly version: number;
  /** By name. */
  readonly domains: readonly DomainStatus[];
}
