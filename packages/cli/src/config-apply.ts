import {randomUUID} from 'node:crypto';
import {userInfo} from 'node:os';
import {setTimeout as sleep} from 'node:timers/promises';
import {type Either, Left, Right} from 'purify-ts';
import {failUnreachable, type Instant, monotonicClock} from '#model';
import type {ApplyConfigParams, ApplyConfigResult} from '#protocol';
import {type ExitCode, exitCode} from '#telemetry';
import {
  computeCommandDeadline,
  type Context,
  type ControlOptions,
  reportFailure,
} from './command.js';
import {printErrors, printResult} from './console.js';
import {ControlClient, type RemoteFailure} from './control-client.js';
import {fetchConfigStatus, fetchInForce, listLagging} from './config-status.js';
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
 * Applies a configuration and prints the outcome. A change whose answer was lost is sent again
 * under the same id until the time is up, so that it is accepted at most once.
 */
export async function applyConfig(
  context: Context,
  options: ApplyOptions,
): Promise<ExitCode> {
  const read = readSource(options);
  if (read.isLeft()) {
    return reportSettingsErrors(context, options, read.swap().orDefault([]));
  }
  if (options.changeId !== undefined && options.expect === undefined) {
    printErrors(context.console, options, [
      'a change that has an id must state --expect too',
    ]);
    return exitCode.usage;
  }
  const source = read.unsafeCoerce();
  const deadline = computeCommandDeadline(options);
  const client = new ControlClient(options.control);
  const expected = await chooseExpected(client, options, deadline);
  if (expected.isLeft()) {
    const failure = expected.swap().unsafeCoerce();
    return reportFailure(context.console, options, {
      ...failure,
      kind: 'unreachable',
    });
  }
  const change = {
    changeId: options.changeId ?? randomUUID(),
    expectedVersion: expected.unsafeCoerce(),
    author: options.author ?? findUserName(),
    source,
  };
  const result = await sendChange(client, change, deadline);
  return result.caseOf<Promise<ExitCode>>({
    Left: async failure => {
      if (failure.kind !== 'unanswered') {
        return reportFailure(context.console, options, failure);
      }
      const again = `--change-id ${change.changeId} --expect ${change.expectedVersion}`;
      return reportFailure(context.console, options, {
        kind: 'unanswered',
        detail: `${failure.detail}; to learn the outcome apply it again with ${again}`,
      });
    },
    Right: answer =>
      reportApplied(context, options, change.changeId, answer, version =>
        awaitInForce(client, version, deadline),
      ),
  });
}

/** What became of a change, once it is known. */
type Settled = Exclude<ApplyConfigResult, {readonly kind: 'unknown'}>;

/** Sends a change until its fate is known: also when a region's group could not ask the origin. */
async function sendChange(
  client: ControlClient,
  change: ApplyConfigParams,
  deadline: Instant,
): Promise<Either<RemoteFailure, Settled>> {
  for (;;) {
    const answer = await client.change(
      'control.applyConfig',
      change,
      deadline,
      'idempotent',
    );
    const settled = answer.chain<RemoteFailure, Settled>(result =>
      result.kind === 'unknown'
        ? Left({kind: 'unanswered', detail: result.detail})
        : Right(result),
    );
    const isOpen = answer.isRight() && settled.isLeft();
    if (!isOpen || monotonicClock.now() + pollIntervalMs > deadline) {
      return settled;
    }
    await sleep(pollIntervalMs);
  }
}

async function chooseExpected(
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
  {console}: Context,
  options: ApplyOptions,
  changeId: string,
  result: Settled,
  wait: (version: number) => Promise<readonly string[]>,
): Promise<ExitCode> {
  switch (result.kind) {
    case 'accepted': {
      const lagging = options.wait ? await wait(result.version) : undefined;
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
          `overtaken: the document's version is not higher than the one in force, which is version ${version} here`,
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

/** Waits until every process reports the version; returns those that did not by the deadline. */
async function awaitInForce(
  client: ControlClient,
  version: number,
  deadline: Instant,
): Promise<readonly string[]> {
  let lagging: readonly string[] = ['any process'];
  while (monotonicClock.now() < deadline) {
    const status = await fetchInForce(client, deadline);
    lagging = status
      .map(found => listLagging(found, version))
      .orDefault(lagging);
    if (lagging.length === 0) return lagging;
    await sleep(pollIntervalMs);
  }
  return lagging;
}
