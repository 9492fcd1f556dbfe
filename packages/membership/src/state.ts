import type {ControlId, Epoch, JobId, TargetId, TargetInfo} from '#model';
import {failUnreachable} from '#model';
import type {
  Admission,
  AdmittedJob,
  AdmitResult,
  GoneTarget,
  TeamHomes,
  LookupResult,
  View as WireView,
  ViewChange,
} from '#protocol';
import {
  type AdmissionRecord,
  AdmissionTable,
  cancelledSecond,
} from './admissions.js';
import type {Command, CommandResult, LogTime} from './command.js';
import {
  adoptConfiguration,
  applyChange,
  type ConfigurationState,
  createConfiguration,
} from './configure.js';
import {endEpoch, type EpochTable, openEpoch, resolveOwner} from './epochs.js';
import {
  applyEvacuation,
  createEvacuations,
  type EvacuationState,
} from './evacuations.js';

/** The capacity of the admission table; a batch beyond it is refused as `full`. */
export const maxAdmissions = 2 ** 20;
const maxForgottenPerCommand = 8192;
const noHomes: TeamHomes = {stated: false, teams: []};

/**
 * The replicated state of a control group. It has one owner and is changed only by `applyCommand`:
 * the same commands in the same order produce the same state on every replica.
 */
export interface ControlState {
  /** The index of the last command applied. */
  revision: number;
  /** The largest log time applied. */
  time: LogTime;
  readonly epochs: EpochTable;
  readonly targets: Map<TargetId, TargetInfo>;
  /** In the order in which they ended. */
  readonly gone: GoneIncarnation[];
  readonly configuration: ConfigurationState;
  readonly evacuations: EvacuationState;
  readonly admissions: AdmissionTable;
  /** Replicas that ever had log entries on disk: none of them may rejoin with an empty disk. */
  readonly acknowledged: Set<ControlId>;
}

/** An ended incarnation of an agent, kept as long as the record of any job that it may have started. */
export interface GoneIncarnation {
  readonly gone: GoneTarget;
  /** Log time in whole seconds from which the record may be removed. */
  readonly expirySecond: number;
}

/** The result of a command, and the changes to send to watchers. */
export interface AppliedCommand {
  readonly result: CommandResult;
  readonly changes: readonly ViewChange[];
}

/** Creates the state of a group that has applied no command. */
export function createState(): ControlState {
  return {
    revision: 0,
    time: 0,
    epochs: {nextEpoch: 1, live: new Map(), ended: new Map()},
    targets: new Map(),
    gone: [],
    configuration: createConfiguration(),
    evacuations: createEvacuations(),
    admissions: new AdmissionTable(),
    acknowledged: new Set(),
  };
}

/** Applies the committed command at a log index. Deterministic: reads no clock and no random numbers. */
export function applyCommand(
  state: ControlState,
  command: Command,
  index: number,
): AppliedCommand {
  state.revision = index;
  state.time = Math.max(state.time, command.time);
  switch (command.kind) {
    case 'open-entry': {
      state.evacuations.known.add(command.place.failureDomain);
      const {epoch, changes} = openEpoch(state.epochs, command);
      return {result: {kind: 'opened', epoch}, changes};
    }
    case 'close-entry':
    case 'end-epoch':
      return finish(endEpoch(state.epochs, command.epoch));
    case 'announce-target':
      return announceTarget(state, command.target);
    case 'target-gone':
      return removeTarget(state, command.target, command.incarnation);
    case 'admit':
      return admitJobs(state, command.admissions, command.wallMs);
    case 'cancel-jobs':
      for (const job of command.jobs) state.admissions.cancel(job);
      return finish([]);
    case 'forget':
      return forgetExpired(state);
    case 'note-members':
      for (const member of command.members) state.acknowledged.add(member);
      return finish([]);
    case 'configure': {
      const {change, homes = noHomes} = command;
      const applied = applyChange(state.configuration, change, homes, index);
      const {result, changes} = applied;
      return {result: {kind: 'configured', result}, changes};
    }
    case 'adopt-configuration':
      return finish(adoptConfiguration(state.configuration, command, index));
    case 'set-evacuation':
      return finish(applyEvacuation(state.evacuations, command, index));
    default:
      return failUnreachable(command);
  }
}

/**
 * Looks up whether a job is admitted, which entry owns it and, by the leader's wall
 * clock, whether it may still start. Log time cannot decide that: it stops while there
 * is no leader, and agents' clocks do not. Agents remember what they started until the
 * retention after the deadline is over, so the control hosts' wall clocks may differ
 * by at most that retention.
 */
export function lookupJob(
  state: ControlState,
  job: JobId,
  wallMs: number,
): LookupResult {
  const record = state.admissions.find(job);
  if (record === undefined) return {kind: 'absent'};
  return {kind: 'exists', standing: describeAdmittedJob(state, record, wallMs)};
}

/** Builds the full view for a watcher. */
export function buildView(state: ControlState): WireView {
  return {
    targets: [...state.targets.values()],
    gone: state.gone.map(record => record.gone),
    entries: [...state.epochs.live.values()].map(live => live.info),
    ended: [...state.epochs.ended.values()],
    configuration: state.configuration.current,
    evacuated: [...state.evacuations.evacuated],
  };
}

function finish(changes: readonly ViewChange[]): AppliedCommand {
  return {result: {kind: 'done'}, changes};
}

/** Within one incarnation and life a leaving target stays leaving, even if a delayed older announcement says otherwise. */
function announceTarget(
  state: ControlState,
  target: TargetInfo,
): AppliedCommand {
  state.evacuations.known.add(target.place.failureDomain);
  const known = state.targets.get(target.target);
  if (known !== undefined && known.incarnation > target.incarnation) {
    return {result: {kind: 'superseded'}, changes: []};
  }
  const restarted =
    known !== undefined && known.incarnation < target.incarnation;
  const isNewLife = (target.life ?? 0) > (known?.life ?? 0);
  const leaving =
    target.leaving || (known?.leaving === true && !restarted && !isNewLife);
  const announced = {...target, leaving};
  if (JSON.stringify(known) === JSON.stringify(announced)) return finish([]);
  const changes = restarted ? [endIncarnation(state, known)] : [];
  state.targets.set(announced.target, announced);
  return finish([...changes, {kind: 'target-joined', target: announced}]);
}

function removeTarget(
  state: ControlState,
  target: TargetId,
  incarnation: number,
): AppliedCommand {
  const known = state.targets.get(target);
  if (known?.incarnation !== incarnation) return finish([]);
  return finish([endIncarnation(state, known)]);
}

function endIncarnation(
  state: ControlState,
  {target, incarnation}: TargetInfo,
): ViewChange {
  const gone = {target, incarnation, revision: state.revision};
  const expirySecond = state.admissions.latestExpirySecond;
  state.targets.delete(target);
  state.gone.push({gone, expirySecond});
  return {kind: 'target-gone', gone};
}

function admitJobs(
  state: ControlState,
  admissions: readonly Admission[],
  wallMs: number,
): AppliedCommand {
  if (state.admissions.size + admissions.length > maxAdmissions) {
    return {result: {kind: 'full'}, changes: []};
  }
  const results = admissions.map(admission =>
    admitJob(state, admission, wallMs),
  );
  return {result: {kind: 'admitted', results}, changes: []};
}

/** Admits a job without a record. Of those with one, only a retry of the request that created it is admitted again, unless the job is cancelled. */
function admitJob(
  state: ControlState,
  admission: Admission,
  wallMs: number,
): AdmitResult {
  const {job, digest, epoch, tasks, unrepeatable, ticket} = admission;
  if (!state.epochs.live.has(epoch)) return {kind: 'ended'};
  const known = state.admissions.find(job);
  if (known !== undefined) {
    const isRetry =
      known.epoch === epoch &&
      known.ticket === ticket &&
      known.digest === digest &&
      known.startSecond !== cancelledSecond;
    if (isRetry) return {kind: 'admitted'};
    const standing = describeAdmittedJob(state, known, wallMs);
    return {kind: 'exists', standing};
  }
  const startSecond = Math.ceil((wallMs + admission.startMs) / 1000);
  const expirySecond = Math.ceil((state.time + admission.keepMs) / 1000);
  const {revision} = state;
  state.admissions.add({
    job,
    digest,
    epoch,
    tasks,
    unrepeatable,
    revision,
    ticket,
    startSecond,
    expirySecond,
  });
  return {kind: 'admitted'};
}

function describeAdmittedJob(
  state: ControlState,
  record: AdmissionRecord,
  wallMs: number,
): AdmittedJob {
  const {digest, tasks, unrepeatable, epoch, revision, ticket} = record;
  const owner = resolveOwner(state.epochs, epoch);
  const address = state.epochs.live.get(owner)?.info.address;
  const standing = {
    digest,
    tasks,
    unrepeatable,
    epoch,
    owner,
    revision,
    ticket,
    mayStart: wallMs <= record.startSecond * 1000,
    ...(record.startSecond === cancelledSecond && {cancelled: true as const}),
  };
  return address === undefined ? standing : {...standing, address};
}

/** Removes expired admissions, then the ended epochs and incarnations that no admission needs any more. */
function forgetExpired(state: ControlState): AppliedCommand {
  const second = Math.floor(state.time / 1000);
  state.admissions.forgetExpired(second, maxForgottenPerCommand);
  const forgotten: Epoch[] = [];
  for (const epoch of state.epochs.ended.keys()) {
    if (state.admissions.countByEpoch(epoch) === 0) forgotten.push(epoch);
  }
  for (const epoch of forgotten) state.epochs.ended.delete(epoch);
  return finish([
    ...forgotten.map(epoch => ({kind: 'epoch-forgotten', epoch}) as const),
    ...forgetGoneIncarnations(state),
  ]);
}

/** Removes a prefix of the list: the latest expiry never decreases, so incarnations expire in the order in which they ended. */
function forgetGoneIncarnations({
  gone,
  admissions,
}: ControlState): readonly ViewChange[] {
  const firstKept = gone.findIndex(
    record => record.expirySecond > admissions.lastForgottenSecond,
  );
  const forgotten = gone.splice(0, firstKept === -1 ? gone.length : firstKept);
  if (forgotten.length === 0) return [];
  const untilRevision = forgotten[forgotten.length - 1].gone.revision;
  return [{kind: 'gone-forgotten', untilRevision}];
}
