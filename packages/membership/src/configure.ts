import {createHash} from 'node:crypto';
import type {VersionedSource} from '#model';
import type {
  ApplyConfigParams,
  ApplyConfigResult,
  TeamHomes,
  ViewChange,
} from '#protocol';
import {
  createHomes,
  type HomeTable,
  validateHomes,
  recordHomes,
} from './homes.js';

/** The configuration in force at the origin, the group from which this one takes its configuration. */
export interface Adoption {
  readonly configuration: VersionedSource;
  readonly history: readonly ChangeSummary[];
  readonly homes: TeamHomes;
}

/** An accepted change without its source text. */
export type ChangeSummary = Omit<VersionedSource, 'source'>;

/** The first answer to a change id, repeated to every retry of the change. */
export interface ChangeAnswer {
  readonly contentHash: string;
  readonly result: ApplyConfigResult;
}

/** The configuration in force, and what is needed to answer retries and conflicting changes. */
export interface ConfigurationState {
  current: VersionedSource;
  /** The revision at which the current version took effect. */
  revision: number;
  /** The latest accepted changes, oldest first. */
  readonly history: ChangeSummary[];
  /** First answers by change id, oldest first. */
  readonly answers: Map<string, ChangeAnswer>;
  readonly homes: HomeTable;
}

const maxHistory = 400;
const maxAnswers = 800;

/** The change id under which a new group commits its initial configuration. */
export const bootstrapChangeId = 'bootstrap';

/** Creates the state of a group without a configuration: version 0. */
export function createConfiguration(): ConfigurationState {
  return {
    current: {
      version: 0,
      changeId: '',
      author: '',
      source: {base: '', overlays: {}},
    },
    revision: 0,
    history: [],
    answers: new Map(),
    homes: createHomes(),
  };
}

/** Finds the first answer to a change id; `invalid` when the id was used for other content. */
export function findAnswer(
  state: ConfigurationState,
  change: ApplyConfigParams,
): ApplyConfigResult | undefined {
  const answer = state.answers.get(change.changeId);
  if (answer === undefined) return undefined;
  if (answer.contentHash === hashChange(change)) return answer.result;
  return {
    kind: 'invalid',
    errors: [
      `change id "${change.changeId}" was used for another change; choose a new one`,
    ],
  };
}

/** Accepts a change based on the current version; any other conflicts with the change that took that version. */
export function applyChange(
  state: ConfigurationState,
  change: ApplyConfigParams,
  homes: TeamHomes,
  revision: number,
): {
  readonly result: ApplyConfigResult;
  readonly changes: readonly ViewChange[];
} {
  const earlierAnswer = findAnswer(state, change);
  if (earlierAnswer !== undefined) return {result: earlierAnswer, changes: []};
  const result = decideChange(state, change, homes);
  state.answers.set(change.changeId, {contentHash: hashChange(change), result});
  dropOldest(state.answers);
  if (result.kind !== 'accepted') return {result, changes: []};
  const {changeId, author, source} = change;
  const {version} = result;
  state.current = {version, changeId, author, source};
  state.revision = revision;
  recordHomes(state.homes, homes);
  state.history.push({version, changeId, author});
  if (state.history.length > maxHistory) state.history.shift();
  return {
    result,
    changes: [{kind: 'configured', configuration: state.current}],
  };
}

/** Adopts the origin's configuration when its version is newer. The origin has validated it, so it is not validated again. */
export function adoptConfiguration(
  state: ConfigurationState,
  {configuration, history, homes}: Adoption,
  revision: number,
): readonly ViewChange[] {
  const before = state.current.version;
  if (configuration.version <= before) return [];
  state.current = configuration;
  state.revision = revision;
  recordHomes(state.homes, homes);
  state.history.push(...history.filter(({version}) => version > before));
  const excess = state.history.length - maxHistory;
  if (excess > 0) state.history.splice(0, excess);
  return [{kind: 'configured', configuration}];
}

function decideChange(
  {current, history, homes}: ConfigurationState,
  {expectedVersion, source}: ApplyConfigParams,
  changedHomes: TeamHomes,
): ApplyConfigResult {
  const originVersion = source.origin?.version;
  if (originVersion !== undefined) {
    const known = current.source.origin?.version ?? 0;
    if (originVersion <= known) {
      return {kind: 'overtaken', version: current.version};
    }
    return {kind: 'accepted', version: current.version + 1};
  }
  if (expectedVersion === current.version) {
    const errors = validateHomes(homes, changedHomes);
    if (errors.length > 0) return {kind: 'invalid', errors};
    return {kind: 'accepted', version: current.version + 1};
  }
  const winner =
    history.find(({version}) => version === expectedVersion + 1) ?? current;
  return {
    kind: 'conflict',
    version: current.version,
    winner: winner.author,
    winnerChangeId: winner.changeId,
  };
}

function dropOldest(answers: Map<string, ChangeAnswer>): void {
  if (answers.size <= maxAnswers) return;
  for (const changeId of answers.keys()) {
    answers.delete(changeId);
    return;
  }
}

function hashChange({expectedVersion, source}: ApplyConfigParams): string {
  const overlays = Object.entries(source.overlays).sort(([a], [b]) =>
    a < b ? -1 : 1,
  );
  return createHash('sha256')
    .update(
      JSON.stringify([
        expectedVersion,
        source.base,
        overlays,
        ...(source.origin === undefined ? [] : [source.origin]),
      ]),
    )
    .digest('hex')
    .slice(0, 32);
}
