export type {IntakeSettings} from '#settings';
export {defaultIntake} from '#settings';

export type {
  ConnectionStage,
  ConnectionState,
  HeldQuantity,
  UnfinishedBody,
  UnreadAnswers,
} from './cut.js';
export {
  chooseBodyToCut,
  chooseConnectionToClose,
  computeBodyDeadline,
  listUnreadToClose,
} from './cut.js';

export {BlockBuffer, BlockPool} from './block-buffer.js';
export {GarbageLimiter} from './garbage.js';
export type {CutCause, HoldOptions} from './account.js';
export {BodyAccount, BodyHold} from './account.js';

export type {Door} from './connections.js';
export {ConnectionTable} from './connections.js';

export type {IntakeOptions, RefusalCause} from './intake.js';
export {Intake} from './intake.js';

export type {
  Admission,
  BodyRefusal,
  FinalAnswer,
  HttpDoorOptions,
  ReceivedBody,
} from './http.js';
export {HttpDoor} from './http.js';
