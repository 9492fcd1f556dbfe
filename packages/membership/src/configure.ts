import {createHash} from 'node:crypto';
import type {VersionedSource} from '#model';
import type {
  ApplyConfigParams,
  ApplyConfigResult,
  Homes,
  ViewChange,
} from '#protocol';
import {
  createHomes,
  type HomeTable,
  judgeHomes,
  rememberHomes,
} from './homes.js';

/** What is in force at the origin of configuration. */
export interface Adoption {
  readonly configuration: VersionedSource;
  readonly history: readonly ChangeSummary[];
  readonly homes: Homes;
}

/** An accepted change without its texts. */
export type ChangeSummary = Omit<VersionedSource, 'source'>;

/** The first answer to a change id. */
export interface ChangeAnswer {
  readonly contentHash: string;
  readonly result: ApplyConfigResult;
}

/** The configuration in force, and what answers resends and losers of a race. */
export interface ConfigurationState {
  current: VersionedSource;
  /** The revision at which the current version came into force. */
  revision: number;
  /** The latest accepted changes, oldest first. */
  readonly history: ChangeSummary[];
  /** First answers by change id, oldest first. */
  readonly answers: Map<string, ChangeAnswer>;
  readonly homes: HomeTable;
}

const maxHistory = 400;
const maxAnswers = 800;

/** The change id under which a new group commits the configuration that it was started with. */
export const bootstrapChangeId = 'bootstrap';

/** No configuration yet: version 0. */
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

/** Finds the answer that a change id already has; a reused id with other content is invalid. */
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

/** Accepts a change that builds on the current version; any other loses to the one that took its version. */
export function applyChange(
  state: ConfigurationState,
  change: ApplyConfigParams,
  homes: Homes,
  revision: number,
): {
  readonly result: ApplyConfigResult;
  readonly changes: readonly ViewChange[];
} {
  const first = findAnswer(state, change);
  if (first !== undefined) return {result: first, changes: []};
  const result = judgeChange(state, change, homes);
  state.answers.set(change.changeId, {contentHash: hashChange(change), result});
  dropOldest(state.answers);
  if (result.kind !== 'accepted') return {result, changes: []};
  const {changeId, author, source} = change;
  const {version} = result;
  state.current = {version, changeId, author, source};
  state.revision = revision;
  rememberHomes(state.homes, homes);
  state.history.push({version, changeId, author});
  if (state.history.length > maxHistory) state.history.shift();
  return {
    result,
    changes: [{kind: 'configured', configuration: state.current}],
  };
}

/** Adopts the origin's configuration when it is newer: versions only grow. Judged there, it is not judged again. */
export function adoptConfiguration(
  state: ConfigurationState,
  {configuration, history, homes}: Adoption,
  revision: number,
): readonly ViewChange[] {
  const before = state.current.version;
  if (configuration.version <= before) return [];
  state.current = configuration;
  state.revision = revision;
  rememberHomes(state.homes, homes);
  state.history.push(...history.filter(({version}) => version > before));
  const excess = state.history.length - maxHistory;
  if (excess > 0) state.history.splice(0, excess);
  return [{kind: 'configured', configuration}];
}

function judgeChange(
  {current, history, homes}: ConfigurationState,
  {expectedVersion, source}: ApplyConfigParams,
  changed: Homes,
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
    const errors = judgeHomes(homes, changed);
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
