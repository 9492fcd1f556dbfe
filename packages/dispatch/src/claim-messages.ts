import type {JobId, ServiceName} from '#model';
import type {ClaimJobParams, ClaimJobResult} from '#protocol';
import type {JobOwner} from './claims.js';

/** A job that is claimed, and the owner that the claimant replaces, if any. */
export interface Claim {
  readonly job: JobId;
  readonly service: ServiceName;
  readonly claimant: JobOwner;
  readonly replaces: JobOwner | undefined;
  /** True to learn the owner without becoming it. */
  readonly isQuery?: boolean;
}

export interface ClaimAnswer {
  /** The job's owner now: the claimant or an earlier one. */
  readonly owner: JobOwner;
  /** How long the registrar has kept claims, in ms; undefined for builds that do not send it. */
  readonly knownForMs: number | undefined;
}

/** Decodes the parameters of a claim at a registrar. */
export function decodeClaim({
  job,
  service,
  claimant,
  claimantLife,
  replaces,
  replacesLife,
  isQuery = false,
}: ClaimJobParams): Claim {
  return {
    job,
    service,
    claimant: {address: claimant, life: claimantLife},
    replaces:
      replaces === undefined
        ? undefined
        : {address: replaces, life: replacesLife},
    isQuery,
  };
}

/** Encodes a claim for a registrar. */
export function encodeClaim({
  job,
  service,
  claimant,
  replaces,
  isQuery = false,
}: Claim): ClaimJobParams {
  return {
    job,
    service,
    claimant: claimant.address,
    claimantLife: claimant.life,
    ...(replaces !== undefined && {
      replaces: replaces.address,
      replacesLife: replaces.life,
    }),
    ...(isQuery && {isQuery}),
  };
}

/** Decodes a registrar's answer. One of a build that does not tell processes apart names the claimant by its address alone. */
export function decodeClaimAnswer(
  {owner: address, ownerLife, knownForMs}: ClaimJobResult,
  {claimant}: Claim,
): ClaimAnswer {
  const life =
    knownForMs === undefined && address === claimant.address
      ? claimant.life
      : ownerLife;
  return {owner: {address, life}, knownForMs};
}

/** Encodes what a registrar answers, apart from its load. */
export function encodeClaimAnswer({
  owner: {address, life},
  knownForMs,
}: ClaimAnswer): ClaimJobResult {
  return {owner: address, ownerLife: life, knownForMs};
}
