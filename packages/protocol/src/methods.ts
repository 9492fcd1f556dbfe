import type {
  AbandonJobParams,
  AdmitParams,
  AdmitResult,
  AgentStatus,
  AnnounceParams,
  ApplyConfigParams,
  ApplyConfigResult,
  AttachParams,
  AttachResult,
  AttachRunnerParams,
  AttachRunnerResult,
  ChangeMembersParams,
  ClaimJobParams,
  ClaimJobResult,
  ClearJobParams,
  CloseEntryParams,
  ConfigStatus,
  ControlReply,
  ControlsParams,
  ControlStatus,
  DemandParams,
  DrainParams,
  EnrolParams,
  EnrolResult,
  EpochJob,
  EpochJobsParams,
  EvacuationStatus,
  FenceParams,
  FenceResult,
  CancelJobParams,
  CancelJobResult,
  FollowJobParams,
  FollowJobResult,
  GrantParams,
  HelloParams,
  HelloResult,
  JobParams,
  JobState,
  LeaseGrant,
  CancelJobsParams,
  LookupParams,
  LookupResult,
  OpenEntryParams,
  QueryResult,
  PermitRunsParams,
  PlaceRunsParams,
  RecallParams,
  RelayJobParams,
  RelayJobResult,
  RegionReport,
  ReleaseParams,
  Renewal,
  RenewEntryParams,
  RenewTargetParams,
  ReplicateParams,
  ReportParams,
  ReportRunsParams,
  ReserveParams,
  SetEvacuationParams,
  SetEvacuationResult,
  StartParams,
  TasksParams,
  ViewUpdate,
  WatchParams,
  WithdrawParams,
  WithdrawRunsParams,
} from './messages.js';

import type {VersionedSource} from '#model';

/** The parameters or result of a method that has none. */
export type EmptyMessage = Readonly<Record<string, never>>;

/** Request methods. Only the leader answers those of `control`, except for status and watch. */
export interface Requests {
  'agent.hello': {params: HelloParams; result: HelloResult};
  'agent.query': {params: TasksParams; result: QueryResult};
  'agent.fence': {params: FenceParams; result: FenceResult};
  'agent.drain': {params: DrainParams; result: EmptyMessage};
  'agent.status': {params: EmptyMessage; result: AgentStatus};
  'entry.attach': {params: AttachParams; result: AttachResult};
  'entry.cancel': {params: JobParams; result: JobState};
  'entry.peek': {params: JobParams; result: JobState};
  'control.openEntry': {
    params: OpenEntryParams;
    result: ControlReply<LeaseGrant>;
  };
  'control.renewEntry': {
    params: RenewEntryParams;
    result: ControlReply<Renewal>;
  };
  'control.closeEntry': {
    params: CloseEntryParams;
    result: ControlReply<EmptyMessage>;
  };
  'control.announce': {params: AnnounceParams; result: ControlReply<Renewal>};
  'control.renewTarget': {
    params: RenewTargetParams;
    result: ControlReply<Renewal>;
  };
  'control.withdraw': {
    params: WithdrawParams;
    result: ControlReply<EmptyMessage>;
  };
  'control.admit': {
    params: AdmitParams;
    result: ControlReply<readonly AdmitResult[]>;
  };
  'control.cancelJobs': {
    params: CancelJobsParams;
    result: ControlReply<EmptyMessage>;
  };
  'control.lookup': {
    params: LookupParams;
    result: ControlReply<readonly LookupResult[]>;
  };
  'control.epochJobs': {
    params: EpochJobsParams;
    result: ControlReply<readonly EpochJob[]>;
  };
  'control.watch': {params: WatchParams; result: ViewUpdate};
  'control.applyConfig': {
    params: ApplyConfigParams;
    result: ControlReply<ApplyConfigResult>;
  };
  'control.reportRegion': {
    params: RegionReport;
    result: ControlReply<EmptyMessage>;
  };
  /** The configuration in force, at least as recent as the request. */
  'control.readConfig': {
    params: EmptyMessage;
    result: ControlReply<VersionedSource>;
  };
  'control.configStatus': {
    params: EmptyMessage;
    result: ControlReply<ConfigStatus>;
  };
  'control.setEvacuation': {
    params: SetEvacuationParams;
    result: ControlReply<SetEvacuationResult>;
  };
  /** The evacuated domains, at least as recent as the request. */
  'control.readEvacuations': {
    params: EmptyMessage;
    result: ControlReply<EvacuationStatus>;
  };
  'control.changeMembers': {
    params: ChangeMembersParams;
    result: ControlReply<EmptyMessage>;
  };
  'control.enrol': {params: EnrolParams; result: ControlReply<EnrolResult>};
  'control.status': {params: EmptyMessage; result: ControlStatus};
  'runner.attach': {params: AttachRunnerParams; result: AttachRunnerResult};
  /** Answered once all runs of the job that other dispatchers placed have ended. */
  'runner.clear': {params: ClearJobParams; result: EmptyMessage};
  'dispatcher.claim': {params: ClaimJobParams; result: ClaimJobResult};
  'dispatcher.follow': {params: FollowJobParams; result: FollowJobResult};
  'dispatcher.cancel': {params: CancelJobParams; result: CancelJobResult};
  'dispatcher.relay': {params: RelayJobParams; result: RelayJobResult};
  /** Served by both ends. The result proves that all messages sent before have arrived. */
  'peer.sync': {params: EmptyMessage; result: EmptyMessage};
}

/** Notification methods, which have no answer. Each is safe to lose with its connection. */
export interface Notifications {
  'agent.start': StartParams;
  'agent.reserve': ReserveParams;
  'agent.release': ReleaseParams;
  'agent.demand': DemandParams;
  'agent.cancel': TasksParams;
  'entry.grant': GrantParams;
  'entry.recall': RecallParams;
  'entry.report': ReportParams;
  'runner.place': PlaceRunsParams;
  'runner.withdraw': WithdrawRunsParams;
  /** Answers the `question` of a `dispatcher.report`: extends the permission for the dispatcher's runs. */
  'runner.permit': PermitRunsParams;
  'dispatcher.report': ReportRunsParams;
  'dispatcher.abandon': AbandonJobParams;
  'control.replicate': ReplicateParams;
  'watcher.update': ViewUpdate;
  /** Where the control replicas listen now; follows each change of members. */
  'watcher.controls': ControlsParams;
}

export type RequestName = keyof Requests;
export type NotificationName = keyof Notifications;
export type MethodName = RequestName | NotificationName;
export type ParamsOf<Name extends MethodName> = Name extends RequestName
  ? Requests[Name]['params']
  : Name extends NotificationName
    ? Notifications[Name]
    : never;
export type ResultOf<Name extends RequestName> = Requests[Name]['result'];
