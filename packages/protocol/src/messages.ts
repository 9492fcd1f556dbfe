import type {
  Address,
  Capacity,
  ConfigurationSource,
  EndedEpoch,
  EntryId,
  EntryInfo,
  Epoch,
  JobAnswer,
  JobId,
  Place,
  RegionName,
  Submission,
  TargetInfo,
  TargetId,
  TaskFate,
  TaskRef,
  TaskStanding,
  TeamHome,
  VersionedSource,
} from '#model';

/** Opens a connection from an entry to an agent and fences every older one of that entry. */
export interface HelloParams {
  readonly entry: EntryId;
  readonly epoch: Epoch;
  /** Grows with each connection of this epoch to this agent. */
  readonly connection: number;
}

export type HelloResult =
  | {
      readonly kind: 'welcome';
      readonly target: TargetInfo;
      readonly slots: number;
    }
  /** The epoch or the connection is older than one seen. */
  | {readonly kind: 'fenced'};

/** One task for an agent to start. */
export interface StartTask extends TaskRef {
  readonly payload: unknown;
  /** Until the job's deadline, in ms. */
  readonly remainingMs: number;
  /** How long after the deadline the agent keeps the task's fate, in ms. */
  readonly keepMs: number;
  /** Uses a slot that the agent granted. Otherwise the agent queues the task or refuses it. */
  readonly granted: boolean;
}

export interface StartParams {
  readonly tasks: readonly StartTask[];
  /** Tasks that still wait at the entry for a slot of this service. */
  readonly waiting: number;
}

/** Asks for slots: the agent grants each as it falls free, first come first served. */
export interface ReserveParams {
  readonly slots: number;
}

/** Gives granted slots back, or withdraws reservations not yet granted. */
export interface ReleaseParams {
  readonly slots: number;
}

/** Tells an agent how many tasks wait at the entry, so that it can move idle grants. */
export interface DemandParams {
  readonly waiting: number;
}

export interface TasksParams {
  readonly tasks: readonly TaskRef[];
}

/** In the order asked. A task reported `never-started` will never start for this epoch. */
export interface QueryResult {
  readonly standings: readonly TaskStanding[];
}

/** Bars epochs from starting anything more and hands what they started to the heir. */
export interface FenceParams {
  readonly epochs: readonly Epoch[];
  readonly heir: Epoch;
  /** Where the page begins: the last page's `next`, or 0. */
  readonly after: number;
}

export interface TaskRecord extends TaskRef {
  readonly standing: TaskStanding;
}

export interface FenceResult {
  readonly target: TargetId;
  readonly incarnation: number;
  /** A page of what the fenced epochs started here and that is still kept. */
  readonly tasks: readonly TaskRecord[];
  /** Where the next page begins; unset on the last one. */
  readonly next?: number;
}

export interface DrainParams {
  /** Running tasks may take this long, in ms. */
  readonly remainingMs: number;
}

export interface AgentStatus {
  readonly target: TargetInfo;
  readonly running: number;
  readonly slots: number;
  readonly queued: number;
  readonly started: number;
  readonly duplicates: number;
  readonly configVersion: number;
}

/** Slots that the receiving entry may use, beyond those it already has. */
export interface GrantParams {
  readonly slots: number;
}

/** Asks an entry to give back up to this many idle slots. */
export interface RecallParams {
  readonly slots: number;
}

export interface TaskReport extends TaskRef {
  readonly fate: TaskFate;
  /** From start to end at the target, in ms; 0 when it did not run. */
  readonly runMs: number;
}

/** Ends tasks. Carries slots granted anew, so that a busy entry needs no grant messages. */
export interface ReportParams {
  readonly tasks: readonly TaskReport[];
  readonly slots: number;
}

/** Submits a job to the entry that owns it, or to one of its home region, on behalf of a caller at another entry. */
export interface AttachParams {
  readonly submission: Submission;
  readonly remainingMs: number;
  /** Comes from another region, and is not passed to a third one. */
  readonly forwarded?: boolean;
}

export interface AttachResult {
  readonly answer: JobAnswer;
}

export interface JobParams {
  readonly job: JobId;
  /** Comes from another region: the receiver asks the job's owner in its own. */
  readonly forwarded?: boolean;
}

export type JobState =
  | {readonly kind: 'absent'}
  | {readonly kind: 'running'; readonly tasks: number; readonly ended: number}
  | {readonly kind: 'answered'; readonly answer: JobAnswer};

/** What a control replica that does not lead answers. */
export interface NotLeader {
  readonly kind: 'not-leader';
  /** Where the leader was last seen, if anywhere. */
  readonly leader?: Address;
  /** The request was proposed to the log and may yet be committed. */
  readonly maybeApplied?: boolean;
}

export type ControlReply<Result> =
  {readonly kind: 'done'; readonly value: Result} | NotLeader;

export interface OpenEntryParams {
  readonly entry: EntryId;
  /** Chosen anew by each process; a resend with the same one gets the same epoch while that lives. */
  readonly nonce?: string;
  readonly address: Address;
  readonly place: Place;
}

export interface LeaseGrant {
  readonly epoch: Epoch;
  /** Lease time from the sending of the request, in ms. */
  readonly leaseMs: number;
  readonly configVersion: number;
}

export interface RenewEntryParams {
  readonly entry: EntryId;
  readonly epoch: Epoch;
  readonly configVersion: number;
}

export type Renewal =
  | {
      readonly kind: 'renewed';
      readonly leaseMs: number;
      readonly configVersion: number;
    }
  /** The lease ran out and its holder was replaced. It must not act again. */
  | {readonly kind: 'ended'};

export interface CloseEntryParams {
  readonly entry: EntryId;
  readonly epoch: Epoch;
}

export interface AnnounceParams {
  readonly target: TargetInfo;
  readonly configVersion: number;
}

export interface RenewTargetParams {
  readonly target: TargetId;
  readonly incarnation: number;
  readonly configVersion: number;
}

export interface WithdrawParams {
  readonly target: TargetId;
  readonly incarnation: number;
}

/** What control keeps of a job so that it starts nowhere else. */
export interface Admission {
  readonly job: JobId;
  readonly digest: string;
  readonly epoch: Epoch;
  readonly tasks: number;
  readonly unrepeatable: boolean;
  /** Tells the requests of one epoch apart: a 32-bit count. */
  readonly ticket: number;
  /** Until the job's deadline, after which nothing of it starts, in ms. */
  readonly startMs: number;
  /** Until the record may be forgotten, in ms. */
  readonly keepMs: number;
}

export interface AdmitParams {
  readonly admissions: readonly Admission[];
}

export type AdmitResult =
  | {readonly kind: 'admitted'}
  | {readonly kind: 'exists'; readonly standing: AdmittedJob}
  /** The epoch that asked is over. */
  | {readonly kind: 'ended'};

/** An admitted job and where to ask about it. */
export interface AdmittedJob {
  readonly digest: string;
  readonly tasks: number;
  readonly unrepeatable: boolean;
  /** The epoch that admitted it. */
  readonly epoch: Epoch;
  /** The epoch that owns it now: the same, or the last heir. */
  readonly owner: Epoch;
  /** Unset when the owner's epoch is over and no entry has taken over. */
  readonly address?: Address;
  /** The log index of the admission. */
  readonly revision: number;
  /**
   * The ticket of the request that made the record. By it an entry tells a
   * record whose answer it never saw, and may start, from one that it started
   * and has forgotten.
   */
  readonly ticket: number;
  /**
   * True until the deadline of the job's first submission. Agents keep what
   * they started some time longer, so that until then nobody's report is proof.
   */
  readonly mayStart: boolean;
}

export interface LookupParams {
  readonly jobs: readonly JobId[];
}

export type LookupResult =
  | {readonly kind: 'absent'}
  | {readonly kind: 'exists'; readonly standing: AdmittedJob};

export interface EpochJobsParams {
  readonly epochs: readonly Epoch[];
}

export interface EpochJob {
  readonly job: JobId;
  /** The log index of the admission. */
  readonly revision: number;
  readonly digest: string;
  readonly epoch: Epoch;
  readonly tasks: number;
  readonly unrepeatable: boolean;
}

/** The view that control pushes: complete, or the changes since the receiver's revision. */
export interface WatchParams {
  /** The last revision seen; 0 for none. */
  readonly since: number;
  /** Agents watch only the configuration. */
  readonly topics: 'all' | 'configuration';
}

/** A life of an agent that is over. What it started cannot be asked for any more. */
export interface GoneTarget {
  readonly target: TargetId;
  readonly incarnation: number;
  /** The log index at which it went. */
  readonly revision: number;
}

export interface View {
  readonly targets: readonly TargetInfo[];
  /**
   * Lives of agents that ended within the last retention period, also by
   * a restart. An heir may start a task that nobody reported only when none
   * of these went at or after the job's admission.
   */
  readonly gone: readonly GoneTarget[];
  readonly entries: readonly EntryInfo[];
  readonly ended: readonly EndedEpoch[];
  readonly configuration: VersionedSource;
}

export type ViewChange =
  | {readonly kind: 'target-joined'; readonly target: TargetInfo}
  | {readonly kind: 'target-gone'; readonly gone: GoneTarget}
  /** Control keeps no job admitted before these lives went, up to this revision. */
  | {readonly kind: 'gone-forgotten'; readonly untilRevision: number}
  | {readonly kind: 'entry-opened'; readonly entry: EntryInfo}
  | {readonly kind: 'epoch-ended'; readonly ended: EndedEpoch}
  /** Control keeps no job of this ended epoch any more. */
  | {readonly kind: 'epoch-forgotten'; readonly epoch: Epoch}
  | {readonly kind: 'configured'; readonly configuration: VersionedSource};

export type ViewUpdate =
  | {readonly kind: 'full'; readonly revision: number; readonly view: View}
  | {
      readonly kind: 'delta';
      readonly from: number;
      readonly revision: number;
      readonly changes: readonly ViewChange[];
    };

export interface ApplyConfigParams {
  /** Chosen by the operator's tool; a resend carries the same one. */
  readonly changeId: string;
  /** The version that the change builds on. */
  readonly expectedVersion: number;
  readonly author: string;
  readonly source: ConfigurationSource;
  /** Comes from a region's group, and is not passed to a third one. */
  readonly forwarded?: boolean;
}

export type ApplyConfigResult =
  | {readonly kind: 'accepted'; readonly version: number}
  /** Another change got there first. */
  | {
      readonly kind: 'conflict';
      readonly version: number;
      readonly winner: string;
      readonly winnerChangeId: string;
    }
  | {readonly kind: 'invalid'; readonly errors: readonly string[]}
  /** The origin could not be asked through this group: the change may have been accepted or not. */
  | {readonly kind: 'unknown'; readonly detail: string};

export interface ProcessConfigStatus {
  readonly process: string;
  readonly role: 'entry' | 'agent' | 'control';
  readonly version: number;
}

/** Where the jobs of a configuration's teams are admitted. */
export interface Homes {
  /** The configuration has regions and states each team's home. Otherwise every home is the group's own region. */
  readonly stated: boolean;
  readonly teams: readonly TeamHome[];
}

/** What a region's group reports to the origin: bounded, whatever the region's size. */
export interface RegionReport {
  readonly region: RegionName;
  /** The version that the region's group has adopted. */
  readonly version: number;
  /** The lowest and the highest version that a process reported. */
  readonly lowest: number;
  readonly highest: number;
  /** Processes that reported a version. */
  readonly processes: number;
  /** Processes that hold leases and have not reported. */
  readonly silent: number;
  /** Some of those whose version is older than the group's. */
  readonly lagging: readonly string[];
}

export interface RegionStatus extends RegionReport {
  /** Since the report came, in ms. */
  readonly ageMs: number;
}

/** What a region's group knows of the origin. */
export interface UpstreamStatus {
  /** The newest version seen; 0 before the first. */
  readonly version: number;
  /** Since the origin last answered, in ms; unset before the first time. */
  readonly ageMs?: number;
}

export interface ConfigStatus {
  /** The region that the group serves. */
  readonly region: RegionName;
  readonly current: VersionedSource;
  readonly history: readonly Omit<VersionedSource, 'source'>[];
  /** Every home that was ever in force. */
  readonly homes: Homes;
  readonly processes: readonly ProcessConfigStatus[];
  /** The regions that follow this group. */
  readonly regions: readonly RegionStatus[];
  /** Set when this group follows another. */
  readonly upstream?: UpstreamStatus;
}

/** A consensus message between replicas; checked by the consensus package. */
export interface ReplicateParams {
  readonly from: string;
  readonly message: unknown;
}

export interface ChangeMembersParams {
  readonly change: 'add-learner' | 'promote' | 'remove';
  readonly member: string;
  readonly address?: Address;
}

export interface MemberStatus {
  readonly member: string;
  readonly address: Address;
  readonly voter: boolean;
  /** The log index that the leader knows to be on its disk. */
  readonly matchIndex: number;
}

export interface ControlStatus {
  readonly member: string;
  readonly role: 'leader' | 'follower' | 'candidate' | 'learner';
  readonly term: number;
  readonly leader?: Address;
  readonly commitIndex: number;
  readonly members: readonly MemberStatus[];
  readonly targets: readonly TargetInfo[];
  readonly entries: readonly EntryInfo[];
  readonly jobs: number;
  readonly configVersion: number;
  /** Every replica that ever had log entries on its disk. None may start again on an empty one. */
  readonly acknowledged: readonly string[];
}

export type {Capacity};
