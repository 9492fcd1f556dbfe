import type {ControlId, Epoch, JobId, TargetId, TargetInfo} from '#model';
import {failUnreachable} from '#model';
import type {
  Admission,
  AdmittedJob,
  AdmitResult,
  GoneTarget,
  Homes,
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

/** The most admissions kept at a time. */
export const maxAdmissions = 2 ** 20;
const maxForgottenPerCommand = 8192;
const noHomes: Homes = {stated: false, teams: []};

/**
 * The replicated state of a control group. One owner holds it and changes it by `applyCommand` only;
 * equal commands in equal order make equal states on every replica.
 */
export interface ControlState {
  /** The index of the last command applied. */
  revision: number;
  /** The largest log time applied. */
  time: LogTime;
  readonly epochs: EpochTable;
  readonly targets: Map<TargetId, TargetInfo>;
  /** In the order in which they went. */
  readonly gone: GoneLife[];
  readonly configuration: ConfigurationState;
  readonly admissions: AdmissionTable;
  /** Replicas that ever had log entries on their disks: none may come back with an empty one. */
  readonly acknowledged: Set<ControlId>;
}

/** A life of an agent that is over, kept as long as any job that it may have started. */
export interface GoneLife {
  readonly gone: GoneTarget;
  /** Log time in whole seconds from which the record may be forgotten. */
  readonly expirySecond: number;
}

/** What a command came to, and what watchers must learn of it. */
export interface Applied {
  readonly result: CommandResult;
  readonly changes: readonly ViewChange[];
}

/** The state of a group that has applied nothing. */
export function createState(): ControlState {
  return {
    revision: 0,
    time: 0,
    epochs: {nextEpoch: 1, live: new Map(), ended: new Map()},
    targets: new Map(),
    gone: [],
    configuration: createConfiguration(),
    admissions: new AdmissionTable(),
    acknowledged: new Set(),
  };
}

/** Applies the committed command at an index. Deterministic: no clock, no chance. */
export function applyCommand(
  state: ControlState,
  command: Command,
  index: number,
): Applied {
  state.revision = index;
  state.time = Math.max(state.time, command.time);
  switch (command.kind) {
    case 'open-entry': {
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
    default:
      return failUnreachable(command);
  }
}

/**
 * Tells whether a job is admitted, where to ask about it, and by the leader's
 * wall clock whether it may still start. Log time would not do: it stands still
 * while nobody leads, and agents' clocks do not. Agents keep what they started
 * for the retention after the deadline, which bounds how far the control hosts'
 * wall clocks may lie apart.
 */
export function lookupJob(
  state: ControlState,
  job: JobId,
  wallMs: number,
): LookupResult {
  const record = state.admissions.find(job);
  if (record === undefined) return {kind: 'absent'};
  return {kind: 'exists', standing: describeStanding(state, record, wallMs)};
}

/** Builds the whole view for a watcher. */
export function buildView(state: ControlState): WireView {
  return {
    targets: [...state.targets.values()],
    gone: state.gone.map(life => life.gone),
    entries: [...state.epochs.live.values()].map(live => live.info),
    ended: [...state.epochs.ended.values()],
    configuration: state.configuration.current,
  };
}

function finish(changes: readonly ViewChange[]): Applied {
  return {result: {kind: 'done'}, changes};
}

/** Within one incarnation a target that is leaving stays so, whatever a late resend says. */
function announceTarget(state: ControlState, target: TargetInfo): Applied {
  const known = state.targets.get(target.target);
  if (known !== undefined && known.incarnation > target.incarnation) {
    return {result: {kind: 'superseded'}, changes: []};
  }
  const restarted =
    known !== undefined && known.incarnation < target.incarnation;
  const leaving =
    target.leaving || (known?.leaving === true && restarted === false);
  const announced = {...target, leaving};
  if (JSON.stringify(known) === JSON.stringify(announced)) return finish([]);
  const changes = restarted ? [endLife(state, known)] : [];
  state.targets.set(announced.target, announced);
  return finish([...changes, {kind: 'target-joined', target: announced}]);
}

function removeTarget(
  state: ControlState,
  target: TargetId,
  incarnation: number,
): Applied {
  const known = state.targets.get(target);
  if (known?.incarnation !== incarnation) return finish([]);
  return finish([endLife(state, known)]);
}

function endLife(
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
): Applied {
  if (state.admissions.size + admissions.length > maxAdmissions) {
    return {result: {kind: 'full'}, changes: []};
  }
  const results = admissions.map(admission =>
    admitJob(state, admission, wallMs),
  );
  return {result: {kind: 'admitted', results}, changes: []};
}

/** A resend of the request that made the record is admitted again, unless it is cancelled; nothing else ever is. */
function admitJob(
  state: ControlState,
  admission: Admission,
  wallMs: number,
): AdmitResult {
  const {job, digest, epoch, tasks, unrepeatable, ticket} = admission;
  if (!state.epochs.live.has(epoch)) return {kind: 'ended'};
  const known = state.admissions.find(job);
  if (known !== undefined) {
    const resent =
      known.epoch === epoch &&
      known.ticket === ticket &&
      known.digest === digest &&
      known.startSecond !== cancelledSecond;
    if (resent) return {kind: 'admitted'};
    const standing = describeStanding(state, known, wallMs);
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

function describeStanding(
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

/** Forgets expired admissions, then the ended epochs and lives that no admission needs. */
function forgetExpired(state: ControlState): Applied {
  const second = Math.floor(state.time / 1000);
  state.admissions.forgetExpired(second, maxForgottenPerCommand);
  const forgotten: Epoch[] = [];
  for (const epoch of state.epochs.ended.keys()) {
    if (state.admissions.countOf(epoch) === 0) forgotten.push(epoch);
  }
  for (const epoch of forgotten) state.epochs.ended.delete(epoch);
  return finish([
    ...forgotten.map(epoch => ({kind: 'epoch-forgotten', epoch}) as const),
    ...forgetLives(state),
  ]);
}

/** The latest expiry only grows, so the lives that went first are forgotten first. */
function forgetLives({gone, admissions}: ControlState): readonly ViewChange[] {
  const kept = gone.findIndex(
    life => life.expirySecond > admissions.lastForgottenSecond,
  );
  const forgotten = gone.splice(0, kept === -1 ? gone.length : kept);
  if (forgotten.length === 0) return [];
  const untilRevision = forgotten[forgotten.length - 1].gone.revision;
  return [{kind: 'gone-forgotten', untilRevision}];
}
