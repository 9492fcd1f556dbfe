import {randomUUID} from 'node:crypto';
import type {RegionName} from '#model';
import type {
  Admission,
  ApplyConfigParams,
  ApplyConfigResult,
  ConfigStatus,
  ControlReply,
  ControlStatus,
  Handlers,
  LeaseGrant,
  EmptyMessage,
  OpenEntryParams,
  ProcessConfigStatus,
  Renewal,
  RenewEntryParams,
  RenewTargetParams,
  SetEvacuationParams,
  SetEvacuationResult,
} from '#protocol';
import {
  type ControlState,
  findAnswer,
  isDomainName,
  isKnownDomain,
  isRecordId,
  listDomains,
  listHomes,
  lookupJob,
  maxRecordTasks,
  maxTicket,
} from '#membership';
import {
  checkConfigurationSource,
  describeSettingsError,
  type LeaseSettings,
} from '#settings';
import {deriveHomes} from './homes.js';
import type {Leader} from './leader.js';
import type {TermState} from './term-state.js';
import type {Upstream} from './upstream.js';

const maxAdmissionsPerRequest = 4096;
const maxRecordLifetimeMs = 400 * 24 * 3600 * 1000;
const maxSourceBytes = 2 * 1024 * 1024;

/** What the handlers of the leader's methods need. */
export interface LeaderContext {
  readonly leader: Leader;
  readonly termState: TermState;
  readonly leases: LeaseSettings;
  /** The region that the group serves. */
  readonly region: RegionName;
  /** Lists the configuration versions in force at the control replicas. */
  readonly listControls: () => Promise<readonly ProcessConfigStatus[]>;
  /** The origin of configuration; unset when this group is the origin itself. */
  readonly upstream: Upstream | undefined;
}

/** Creates the handlers of the methods that only the leader answers. */
export function createLeaderHandlers(context: LeaderContext) {
  const {leader} = context;
  return {
    'control.openEntry': params => openEntry(context, params),
    'control.renewEntry': params => renewEntry(context, params),
    'control.closeEntry': async ({epoch}) =>
      acknowledge(await leader.propose({kind: 'close-entry', epoch})),
    'control.announce': async ({target, configVersion}) => {
      const reply = await leader.propose({kind: 'announce-target', target});
      if (reply.kind !== 'done') return reply;
      if (reply.value.kind === 'superseded') {
        return {kind: 'done', value: {kind: 'ended'}};
      }
      const {target: id, incarnation} = target;
      return renewTarget(context, {
        target: id,
        incarnation,
        configVersion,
      });
    },
    'control.renewTarget': params => renewTarget(context, params),
    'control.withdraw': async ({target, incarnation}) =>
      acknowledge(
        await leader.propose({kind: 'target-gone', target, incarnation}),
      ),
    'control.admit': async ({admissions}) => {
      checkAdmissions(admissions);
      const reply = await leader.admit(admissions);
      if (reply === 'full') throw new Error('no room for more admissions');
      return reply;
    },
    'control.cancelJobs': async ({jobs}) =>
      acknowledge(await leader.propose({kind: 'cancel-jobs', jobs})),
    'control.lookup': ({jobs}) =>
      leader.read(state => jobs.map(job => lookupJob(state, job, Date.now()))),
    'control.epochJobs': ({epochs}) =>
      leader.read(({admissions}) =>
        admissions
          .listByEpochs(new Set(epochs))
          .map(({expirySecond: _, startSecond: __, ...job}) => job),
      ),
    'control.applyConfig': params =>
      context.upstream?.apply(params) ?? applyConfig(context, params),
    'control.reportRegion': report => {
      if (!leader.isLeading) return leader.redirect();
      context.termState.regions.record(report);
      return {kind: 'done', value: {}};
    },
    'control.readConfig': () =>
      leader.read(({configuration}) => configuration.current),
    'control.configStatus': () => describeConfiguration(context),
    'control.setEvacuation': params => setEvacuation(context, params),
    'control.readEvacuations': () =>
      leader.read(({evacuations, targets, epochs}) =>
        listDomains(
          evacuations,
          targets.values(),
          [...epochs.live.values()].map(({info}) => info),
        ),
      ),
  } satisfies Handlers;
}

/** Returns the part of a status reply that describes the replicated state. */
export function describeState(
  state: ControlState,
): Pick<
  ControlStatus,
  | 'targets'
  | 'entries'
  | 'jobs'
  | 'configVersion'
  | 'evacuated'
  | 'acknowledged'
> {
  return {
    targets: [...state.targets.values()],
    entries: [...state.epochs.live.values()].map(live => live.info),
    jobs: state.admissions.size,
    configVersion: state.configuration.current.version,
    evacuated: [...state.evacuations.evacuated],
    acknowledged: [...state.acknowledged],
  };
}

async function openEntry(
  {leader, termState, leases, region}: LeaderContext,
  {entry, nonce = '', address, place}: OpenEntryParams,
): Promise<ControlReply<LeaseGrant>> {
  const regionsReply = await leader.read(
    state => state.configuration.homes.hasRegions,
  );
  if (regionsReply.kind !== 'done') return regionsReply;
  if (regionsReply.value && place.region !== region) {
    throw new Error(
      `entry "${entry}" is of region "${place.region}", this group serves "${region}"`,
    );
  }
  const reply = await leader.propose({
    kind: 'open-entry',
    entry,
    nonce: nonce === '' ? randomUUID() : nonce,
    address,
    place,
  });
  if (reply.kind !== 'done') return reply;
  const {value} = reply;
  if (value.kind !== 'opened') throw new Error(`unexpected ${value.kind}`);
  const {epoch} = value;
  termState.renewEntry(epoch);
  return leader.read(({configuration}) => ({
    epoch,
    leaseMs: leases.entryLeaseMs,
    configVersion: configuration.current.version,
  }));
}

/**
 * The lease is extended on receipt, before leadership is confirmed. This is safe as a later leader
 * grants a full lease from its election, and the confirmed read shows that any such election comes
 * after the receipt.
 */
function renewEntry(
  {leader, termState, leases}: LeaderContext,
  {entry, epoch, configVersion: version, demands}: RenewEntryParams,
): Promise<ControlReply<Renewal>> {
  const renewed = leader.isLeading && termState.renewEntry(epoch);
  if (renewed) termState.report({process: entry, role: 'entry', version});
  return leader.read(({epochs, configuration}) => {
    const isLive = renewed && epochs.live.has(epoch);
    if (!isLive || termState.entryLeases.isEnding(epoch))
      return {kind: 'ended'};
    return {
      ...describeRenewal(leases.entryLeaseMs, configuration),
      ...(demands && {demands: termState.exchangeDemands(epoch, demands)}),
    };
  });
}

function renewTarget(
  {leader, termState, leases}: LeaderContext,
  {target, incarnation, configVersion: version}: RenewTargetParams,
): Promise<ControlReply<Renewal>> {
  const renewed =
    leader.isLeading && termState.renewTarget(target, incarnation);
  if (renewed) termState.report({process: target, role: 'agent', version});
  return leader.read(({targets, configuration}) => {
    const isLive = renewed && targets.get(target)?.incarnation === incarnation;
    if (!isLive || termState.targetLeases.isEnding(target))
      return {kind: 'ended'};
    return describeRenewal(leases.targetLeaseMs, configuration);
  });
}

function describeRenewal(
  leaseMs: number,
  {current}: ControlState['configuration'],
): Renewal {
  return {kind: 'renewed', leaseMs, configVersion: current.version};
}

function acknowledge(reply: ControlReply<unknown>): ControlReply<EmptyMessage> {
  return reply.kind === 'done' ? {kind: 'done', value: {}} : reply;
}

/** Throws when a request exceeds what a command or an admission record can hold. */
function checkAdmissions(admissions: readonly Admission[]): void {
  if (admissions.length > maxAdmissionsPerRequest) {
    throw new Error(
      `${admissions.length} admissions in a request, at most ${maxAdmissionsPerRequest} are taken`,
    );
  }
  for (const admission of admissions) {
    const {job, digest, tasks, ticket, startMs, keepMs} = admission;
    if (!isRecordId(job) || !isRecordId(digest)) {
      throw new Error(
        `job "${job}" with digest "${digest}": expected 32 hex digits each`,
      );
    }
    if (
      tasks > maxRecordTasks ||
      Math.max(startMs, keepMs) > maxRecordLifetimeMs ||
      ticket > maxTicket
    ) {
      throw new Error(
        `job "${job}": expected at most ${maxRecordTasks} tasks kept for at most ${maxRecordLifetimeMs} ms under a ticket of at most ${maxTicket}`,
      );
    }
  }
}

async function applyConfig(
  {leader, region}: LeaderContext,
  change: ApplyConfigParams,
): Promise<ControlReply<ApplyConfigResult>> {
  const known = await leader.read(state =>
    findAnswer(state.configuration, change),
  );
  if (known.kind !== 'done') return known;
  if (known.value !== undefined) return {kind: 'done', value: known.value};
  const errors = listSourceErrors(change);
  if (errors.length > 0) {
    return {kind: 'done', value: {kind: 'invalid', errors}};
  }
  const homes = deriveHomes(change.source, region);
  const reply = await leader.propose({kind: 'configure', change, homes});
  if (reply.kind !== 'done') return reply;
  if (reply.value.kind !== 'configured') {
    throw new Error(`unexpected ${reply.value.kind}`);
  }
  return {kind: 'done', value: reply.value.result};
}

function listSourceErrors({
  changeId,
  source,
}: ApplyConfigParams): readonly string[] {
  if (changeId === '') return ['the change id is empty'];
  const bytes = Buffer.byteLength(JSON.stringify(source));
  if (bytes > maxSourceBytes) {
    return [`the texts have ${bytes} bytes, at most ${maxSourceBytes} fit`];
  }
  return checkConfigurationSource(source)
    .swap()
    .orDefault([])
    .map(error => describeSettingsError(error));
}

/** Commits an order; done once it is durable, whoever has learnt of it. Throws for a name that no domain can have. */
async function setEvacuation(
  {leader}: LeaderContext,
  {domain, evacuated, changeId}: SetEvacuationParams,
): Promise<ControlReply<SetEvacuationResult>> {
  if (!isDomainName(domain)) {
    throw new Error(
      'expected the name of a failure domain: 1 to 255 bytes without control characters',
    );
  }
  const known = await leader.read(({evacuations, time}) =>
    isKnownDomain(evacuations, domain, time),
  );
  if (known.kind !== 'done') return known;
  if (!known.value) return {kind: 'done', value: {kind: 'unknown-domain'}};
  const reply = await leader.propose({
    kind: 'set-evacuation',
    domain,
    evacuated,
    ...(changeId !== undefined && {changeId}),
  });
  return reply.kind === 'done' ? {kind: 'done', value: {kind: 'done'}} : reply;
}

async function describeConfiguration({
  leader,
  termState,
  region,
  upstream,
  listControls,
}: LeaderContext): Promise<ControlReply<ConfigStatus>> {
  const controls = await listControls();
  return leader.read(({configuration: {current, history, homes}}) => ({
    region,
    current,
    history: [...history],
    homes: listHomes(homes),
    processes: [...controls, ...termState.listReports()],
    regions: termState.regions.list(),
    ...(upstream !== undefined && {upstream: upstream.describe()}),
  }));
}
