import {randomUUID} from 'node:crypto';
import {userInfo} from 'node:os';
import {setTimeout as sleep} from 'node:timers/promises';
import {type Either, Left, Right} from 'purify-ts';
import {failUnreachable, type Instant, monotonicClock} from '#model';
import type {ApplyConfigParams, ApplyConfigResult} from '#protocol';
import {type ExitCode, exitCode} from '#telemetry';
import {
  computeCommandDeadline,
  type CommandContext,
  type ControlOptions,
  reportFailure,
} from './command.js';
import {printErrors, printResult} from './console.js';
import {ControlClient, type RemoteFailure} from './control-client.js';
import {fetchConfigStatus, fetchRollout, listLagging} from './config-status.js';
import {reportSettingsErrors} from './settings-commands.js';
import {readSource, type SourceFiles} from './source-files.js';

const pollIntervalMs = 200;

export interface ApplyOptions extends ControlOptions, SourceFiles {
  readonly expect?: number;
  readonly changeId?: string;
  readonly author?: string;
  readonly wait?: boolean;
}

/**
 * Applies a configuration and prints the outcome. A change whose answer was lost is resent with
 * the same id until the deadline, so that it is accepted at most once.
 */
export async function applyConfig(
  context: CommandContext,
  options: ApplyOptions,
): Promise<ExitCode> {
  const parsedSource = readSource(options);
  if (parsedSource.isLeft()) {
    return reportSettingsErrors(
      context,
      options,
      parsedSource.swap().orDefault([]),
    );
  }
  if (options.changeId !== undefined && options.expect === undefined) {
    printErrors(context.console, options, [
      'a change that has an id must state --expect too',
    ]);
    return exitCode.usage;
  }
  const source = parsedSource.unsafeCoerce();
  const deadline = computeCommandDeadline(options);
  const client = new ControlClient(options.control);
  const expectedVersion = await chooseExpectedVersion(
    client,
    options,
    deadline,
  );
  if (expectedVersion.isLeft()) {
    const failure = expectedVersion.swap().unsafeCoerce();
    return reportFailure(context.console, options, {
      ...failure,
      kind: 'unreachable',
    });
  }
  const change = {
    changeId: options.changeId ?? randomUUID(),
    expectedVersion: expectedVersion.unsafeCoerce(),
    author: options.author ?? findUserName(),
    source,
  };
  const result = await sendChange(client, change, deadline);
  return result.caseOf<Promise<ExitCode>>({
    Left: async failure => {
      if (failure.kind !== 'unanswered') {
        return reportFailure(context.console, options, failure);
      }
      const retryOptions = `--change-id ${change.changeId} --expect ${change.expectedVersion}`;
      return reportFailure(context.console, options, {
        kind: 'unanswered',
        detail: `${failure.detail}; to learn the outcome apply it again with ${retryOptions}`,
      });
    },
    Right: answer =>
      reportApplied(context, options, change.changeId, answer, version =>
        waitUntilInForce(client, version, deadline),
      ),
  });
}

/** A result that says whether the change was accepted. */
type KnownResult = Exclude<ApplyConfigResult, {readonly kind: 'unknown'}>;

/** Resends a change until its result is known, also while the control group of a region cannot reach the origin. */
async function sendChange(
  client: ControlClient,
  change: ApplyConfigParams,
  deadline: Instant,
): Promise<Either<RemoteFailure, KnownResult>> {
  for (;;) {
    const answer = await client.change(
      'control.applyConfig',
      change,
      deadline,
      'idempotent',
    );
    const knownResult = answer.chain<RemoteFailure, KnownResult>(result =>
      result.kind === 'unknown'
        ? Left({kind: 'unanswered', detail: result.detail})
        : Right(result),
    );
    const isUndecided = answer.isRight() && knownResult.isLeft();
    if (!isUndecided || monotonicClock.now() + pollIntervalMs > deadline) {
      return knownResult;
    }
    await sleep(pollIntervalMs);
  }
}

async function chooseExpectedVersion(
  client: ControlClient,
  options: ApplyOptions,
  deadline: Instant,
): Promise<Either<RemoteFailure, number>> {
  if (options.expect !== undefined) return Right(options.expect);
  const status = await fetchConfigStatus(client, deadline);
  return status.map(({current}) => current.version);
}

function findUserName(): string {
  try {
    return userInfo().username;
  } catch {
    return 'unknown';
  }
}

async function reportApplied(
  {console}: CommandContext,
  options: ApplyOptions,
  changeId: string,
  result: KnownResult,
  waitForVersion: (version: number) => Promise<readonly string[]>,
): Promise<ExitCode> {
  switch (result.kind) {
    case 'accepted': {
      const lagging = options.wait
        ? await waitForVersion(result.version)
        : undefined;
      printResult(
        console,
        options,
        {...result, changeId, ...(lagging !== undefined && {lagging})},
        () => renderAccepted(result.version, changeId, lagging),
      );
      return lagging === undefined || lagging.length === 0
        ? exitCode.ok
        : exitCode.unknown;
    }
    case 'overtaken':
      printResult(
        console,
        options,
        {...result, changeId},
        ({version}) =>
          `overtaken: the version of the document is not higher than version ${version}, which is in force here`,
      );
      return exitCode.conflict;
    case 'conflict':
      printResult(
        console,
        options,
        {...result, changeId},
        ({version, winner, winnerChangeId}) =>
          `conflict: version ${version} by ${winner} (change ${winnerChangeId}) got there first; look at "config diff" and apply again`,
      );
      return exitCode.conflict;
    case 'invalid':
      printErrors(console, options, result.errors);
      return exitCode.settings;
    default:
      return failUnreachable(result);
  }
}

function renderAccepted(
  version: number,
  changeId: string,
  lagging: readonly string[] | undefined,
): string {
  const accepted = `accepted: version ${version} (change ${changeId})`;
  if (lagging === undefined) return accepted;
  return lagging.length === 0
    ? `${accepted}, in force everywhere`
    : `${accepted}, not yet reported in force at ${lagging.join(', ')}`;
}

/** Waits until every process reports the version; returns those that have not at the deadline. */
async function waitUntilInForce(
  client: ControlClient,
  version: number,
  deadline: Instant,
): Promise<readonly string[]> {
  let lagging: readonly string[] = ['any process'];
  while (monotonicClock.now() < deadline) {
    const status = await fetchRollout(client, deadline);
    lagging = status
      .map(rollout => listLagging(rollout, version))
      .orDefault(lagging);
    if (lagging.length === 0) return lagging;
    await sleep(pollIntervalMs);
  }
  return lagging;
}
