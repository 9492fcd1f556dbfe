export type * from './messages.js';
export type {
  MethodName,
  EmptyMessage,
  Notifications,
  NotificationName,
  ParamsOf,
  RequestName,
  Requests,
  ResultOf,
} from './methods.js';

export {checkParams} from './checks.js';
export {encodeFrame, FrameReader, maxFrameBytes, preface} from './frame.js';

export type {Handlers, Liveness, RpcFailure} from './peer.js';
export {defaultLiveness, idleLiveness, Peer} from './peer.js';
export {parseAddress} from '#model';
export {dialPeer, dialTimeoutMs, PeerListener} from './endpoint.js';
