import {Packr, Unpackr} from 'msgpackr';
import {type Either, Left, Right} from 'purify-ts';
import type {
  ControlId,
  EndedEpoch,
  Epoch,
  FailureDomain,
  TargetInfo,
} from '#model';
import {AdmissionTable} from './admissions.js';
import type {
  ChangeAnswer,
  ChangeSummary,
  ConfigurationState,
} from './configure.js';
import type {TeamHomes} from '#protocol';
import {createHomes, listHomes, recordHomes} from './homes.js';
import {createEvacuations, type EvacuationState} from './evacuations.js';
import type {LiveEntry} from './epochs.js';
import type {ControlState, GoneIncarnation} from './state.js';

const snapshotFormat = 1;

interface Snapshot {
  readonly format: number;
  readonly revision: number;
  readonly time: number;
  readonly nextEpoch: Epoch;
  readonly live: readonly LiveEntry[];
  readonly ended: readonly EndedEpoch[];
  readonly targets: readonly TargetInfo[];
  readonly gone: readonly GoneIncarnation[];
  readonly configuration: {
    readonly current: ConfigurationState['current'];
    readonly revision: number;
    readonly history: readonly ChangeSummary[];
    readonly answers: readonly (readonly [string, ChangeAnswer])[];
    /** Unset in snapshots written before regions existed. */
    readonly homes?: TeamHomes;
  };
  /** Unset in snapshots written before evacuations existed. */
  readonly evacuations?: {
    readonly version: number;
    readonly revision: number;
    readonly evacuated: readonly FailureDomain[];
    readonly known: readonly FailureDomain[];
    readonly changeIds: readonly string[];
  };
  readonly acknowledged: readonly ControlId[];
  readonly forgottenSecond: number;
  readonly latestExpirySecond: number;
  readonly admissions: Uint8Array;
}

const packr = new Packr({useRecords: false});
const unpackr = new Unpackr({useRecords: false});

/** Encodes the whole state: 58 bytes per admission; the rest is bounded by the size of the site. */
export function encodeSnapshot(state: ControlState): Uint8Array {
  const {epochs, configuration, evacuations, admissions} = state;
  const snapshot: Snapshot = {
    format: snapshotFormat,
    revision: state.revision,
    time: state.time,
    nextEpoch: epochs.nextEpoch,
    live: [...epochs.live.values()],
    ended: [...epochs.ended.values()],
    targets: [...state.targets.values()],
    gone: state.gone,
    configuration: {
      current: configuration.current,
      revision: configuration.revision,
      history: configuration.history,
      answers: [...configuration.answers],
      homes: listHomes(configuration.homes),
    },
    evacuations: {
      version: evacuations.version,
      revision: evacuations.revision,
      evacuated: [...evacuations.evacuated],
      known: [...evacuations.known],
      changeIds: [...evacuations.changeIds],
    },
    acknowledged: [...state.acknowledged],
    forgottenSecond: admissions.lastForgottenSecond,
    latestExpirySecond: admissions.latestExpirySecond,
    admissions: admissions.encode(),
  };
  return packr.pack(snapshot);
}

/** Rebuilds the state; Left says why the bytes are not a snapshot of this format. */
export function decodeSnapshot(
  bytes: Uint8Array,
): Either<string, ControlState> {
  try {
    const snapshot = unpackr.unpack(bytes) as Snapshot;
    if (snapshot?.format !== snapshotFormat) {
      return Left(
        `snapshot has format ${snapshot?.format}, expected ${snapshotFormat}`,
      );
    }
    return Right(rebuildState(snapshot));
  } catch (error) {
    return Left(`snapshot cannot be read: ${String(error)}`);
  }
}

function rebuildState(snapshot: Snapshot): ControlState {
  const {configuration} = snapshot;
  const homes = createHomes();
  if (configuration.homes !== undefined) {
    recordHomes(homes, configuration.homes);
  }
  return {
    revision: snapshot.revision,
    time: snapshot.time,
    epochs: {
      nextEpoch: snapshot.nextEpoch,
      live: new Map(snapshot.live.map(live => [live.info.epoch, live])),
      ended: new Map(snapshot.ended.map(ended => [ended.epoch, ended])),
    },
    targets: new Map(snapshot.targets.map(target => [target.target, target])),
    gone: [...snapshot.gone],
    configuration: {
      current: configuration.current,
      revision: configuration.revision,
      history: [...configuration.history],
      answers: new Map(configuration.answers),
      homes,
    },
    evacuations: rebuildEvacuations(snapshot),
    acknowledged: new Set(snapshot.acknowledged),
    admissions: AdmissionTable.decode(
      Buffer.from(snapshot.admissions),
      snapshot.forgottenSecond,
      snapshot.latestExpirySecond,
    ),
  };
}

/** Without a record nothing is evacuated, and the domains of the live processes are known. */
function rebuildEvacuations({
  evacuations,
  live,
  targets,
}: Snapshot): EvacuationState {
  if (evacuations === undefined) {
    const processes = [...live.map(({info}) => info), ...targets];
    const known = processes.map(({place}) => place.failureDomain);
    return {...createEvacuations(), known: new Set(known)};
  }
  return {
    version: evacuations.version,
    revision: evacuations.revision,
    evacuated: new Set(evacuations.evacuated),
    known: new Set(evacuations.known),
    changeIds: new Set(evacuations.changeIds),
  };
}
