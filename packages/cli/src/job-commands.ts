import {randomUUID} from 'node:crypto';
import {type Command, InvalidArgumentError} from 'commander';
import {computeDeadline, monotonicClock, type TaskSpec} from '#model';
import {readText} from '#settings';
import {type ExitCode, exitCode} from '#telemetry';
import {
  addEntryOptions,
  computeCommandDeadline,
  type CommandContext,
  parseCount,
  type RemoteOptions,
  reportFailure,
  setAction,
} from './command.js';
import {type Console, printErrors, printResult} from './console.js';
import {toUnreachable} from './control-client.js';
import {type EntryResponse, requestEntry} from './entry-client.js';
import {reportSettingsErrors} from './settings-commands.js';

interface JobOptions extends RemoteOptions {
  readonly entry: readonly string[];
  readonly team: string;
}

interface SubmitOptions extends JobOptions {
  readonly service: string;
  readonly key?: string;
  readonly deadlineMs: number;
  readonly unrepeatable?: boolean;
  readonly payload?: readonly unknown[];
  readonly tasks?: string;
}

const defaultDeadlineMs = 5000;

/** Adds `job submit`, `job get` and `job cancel`. */
export function addJobCommands(
  program: Command,
  context: CommandContext,
): void {
  const group = program
    .command('job')
    .description('Submit jobs to an entry, look them up and cancel them');
  const addJobOptions = (command: Command) =>
    addEntryOptions(command).requiredOption(
      '--team <name>',
      'team that owns the job',
    );
  setAction(
    addJobOptions(
      group
        .command('submit')
        .description('Submit a job, wait for its answer and print it'),
    )
      .requiredOption('--service <name>', 'service that runs the tasks')
      .option('--key <key>', 'idempotency key; generated if absent')
      .option(
        '--deadline-ms <ms>',
        'time limit for the whole job',
        parseCount,
        defaultDeadlineMs,
      )
      .option('--unrepeatable', 'retain the key for longer, to prevent a rerun')
      .option('--payload <json>', 'payload of a task (repeatable)', collectJson)
      .option('--tasks <file>', 'JSON array of {"payload", "expectedMs"}'),
    context,
    (options: SubmitOptions) => submitJob(context, options),
  );
  setAction(
    addJobOptions(
      group.command('get <key>').description('Look up a job by its key'),
    ),
    context,
    (options: JobOptions, key) => requestJob(context, options, 'GET', key),
  );
  setAction(
    addJobOptions(
      group.command('cancel <key>').description('Cancel a job by its key'),
    ),
    context,
    (options: JobOptions, key) => requestJob(context, options, 'DELETE', key),
  );
}

function collectJson(
  text: string,
  previous: readonly unknown[] = [],
): readonly unknown[] {
  try {
    return [...previous, JSON.parse(text)];
  } catch (error) {
    throw new InvalidArgumentError(
      `Invalid JSON: ${(error as Error).message}.`,
    );
  }
}

async function submitJob(
  context: CommandContext,
  options: SubmitOptions,
): Promise<ExitCode> {
  const {console} = context;
  const tasks = readTasks(context, options);
  if (typeof tasks === 'number') return tasks;
  const key = options.key ?? randomUUID();
  const body = JSON.stringify({
    deadlineMs: options.deadlineMs,
    unrepeatable: options.unrepeatable ?? false,
    tasks,
  });
  const response = await requestEntry(
    options.entry,
    {
      method: 'POST',
      path: `/v1/services/${encodeURIComponent(options.service)}/jobs`,
      headers: {'idempotency-key': key, 'wasabiring-team': options.team},
      body,
    },
    computeDeadline(
      monotonicClock.now(),
      options.deadlineMs + options.timeoutMs,
    ),
  );
  return response.caseOf<ExitCode>({
    Left: failure =>
      reportFailure(console, options, {
        ...failure,
        detail: `${failure.detail}; the job's key is ${key}`,
      }),
    Right: found => reportResponse(console, options, key, found),
  });
}

function readTasks(
  context: CommandContext,
  options: SubmitOptions,
): readonly TaskSpec[] | ExitCode {
  const payloadTasks = (options.payload ?? []).map(payload => ({payload}));
  if (options.tasks === undefined) {
    if (payloadTasks.length > 0) return payloadTasks;
    printErrors(context.console, options, ['state --payload or --tasks']);
    return exitCode.usage;
  }
  return readText(options.tasks, `tasks "${options.tasks}"`).caseOf<
    readonly TaskSpec[] | ExitCode
  >({
    Left: errors => reportSettingsErrors(context, options, errors),
    Right: text => {
      const fileTasks = parseTasks(text);
      if (fileTasks !== undefined) return [...payloadTasks, ...fileTasks];
      printErrors(context.console, options, [
        `tasks "${options.tasks}" holds no JSON array`,
      ]);
      return exitCode.usage;
    },
  });
}

function parseTasks(text: string): readonly TaskSpec[] | undefined {
  try {
    const tasks: unknown = JSON.parse(text);
    return Array.isArray(tasks) ? tasks : undefined;
  } catch {
    return undefined;
  }
}

async function requestJob(
  {console}: CommandContext,
  options: JobOptions,
  method: 'GET' | 'DELETE',
  key: string,
): Promise<ExitCode> {
  const response = await requestEntry(
    options.entry,
    {
      method,
      path: `/v1/jobs/${encodeURIComponent(key)}`,
      headers: {'wasabiring-team': options.team},
    },
    computeCommandDeadline(options),
  );
  return response.caseOf<ExitCode>({
    Left: failure =>
      reportFailure(
        console,
        options,
        method === 'GET' ? toUnreachable(failure) : failure,
      ),
    Right: found => reportResponse(console, options, key, found),
  });
}

function reportResponse(
  console: Console,
  options: JobOptions,
  key: string,
  {body}: EntryResponse,
): ExitCode {
  printResult(console, options, {key, ...body}, renderResponse);
  return chooseExitCode(body);
}

/** Chooses the exit code from the `status` and `reason` of a response. */
function chooseExitCode(body: EntryResponse['body']): ExitCode {
  switch (body.status) {
    case 'complete':
    case 'running':
      return exitCode.ok;
    case 'failed':
      return body.reason === 'unknown' ? exitCode.unknown : exitCode.jobFailed;
    case 'unknown':
      return exitCode.unknown;
    default:
      return exitCode.remote;
  }
}

function renderResponse(response: Readonly<Record<string, unknown>>): string {
  const {key, status, results, ...others} = response;
  const lines = [`${String(status)}: job with key ${String(key)}`];
  for (const [name, value] of Object.entries(others)) {
    lines.push(`  ${name}: ${JSON.stringify(value)}`);
  }
  if (Array.isArray(results)) {
    results.forEach((result, i) =>
      lines.push(`  ${i}: ${JSON.stringify(result)}`),
    );
  }
  return lines.join('\n');
}
