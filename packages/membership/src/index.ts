export type {Command, CommandResult, LogTime} from './command.js';

export type {AppliedCommand, ControlState, GoneIncarnation} from './state.js';
export {
  applyCommand,
  buildView,
  createState,
  lookupJob,
  maxAdmissions,
} from './state.js';
export type {AdmissionRecord} from './admissions.js';
export {
  AdmissionTable,
  isRecordId,
  maxRecordTasks,
  maxTicket,
} from './admissions.js';
export type {EpochTable, LiveEntry} from './epochs.js';
export {resolveOwner} from './epochs.js';
export type {ChangeSummary, ConfigurationState} from './configure.js';
export {bootstrapChangeId, findAnswer} from './configure.js';
export type {EvacuationOrder, EvacuationState} from './evacuations.js';
export {isDomainName, isKnownDomain, listDomains} from './evacuations.js';
export type {HomeTable} from './homes.js';
export {listHomes} from './homes.js';
export {decodeSnapshot, encodeSnapshot} from './snapshot.js';

export {PersistentMap} from './persistent-map.js';
export type {View, ViewUpdateResult} from './view.js';
export {applyUpdate, emptyView, findTargets} from './view.js';

export type {
  ControlClientOptions,
  ControlEvent,
  ControlFailure,
  ControlRequest,
  ControlValue,
  ViewListener,
} from './client.js';
export {ControlClient} from './client.js';
