import {createReadStream} from 'node:fs';
import {createInterface} from 'node:readline';
import type {Readable} from 'node:stream';
import type {Command} from 'commander';
import {type ExitCode, exitCode} from '#telemetry';
import {type CommonOptions, type CommandContext, setAction} from './command.js';
import {printErrors, printResult} from './console.js';
import {parseLogLine, type LogRecord} from './log-record.js';
import {buildTimeline, renderTimeline} from './timeline.js';

/** Adds `explain`, which shows the timeline of a request from log files or standard input. */
export function addExplainCommand(
  program: Command,
  context: CommandContext,
): void {
  setAction(
    program
      .command('explain <request> [files...]')
      .description(
        'Show what happened to a request, from the logs of all processes in files or on standard input',
      ),
    context,
    async (options: CommonOptions, request, ...rest) =>
      explainRequest(context, options, request!, rest.flat()),
  );
}

async function explainRequest(
  {console}: CommandContext,
  options: CommonOptions,
  request: string,
  files: readonly string[],
): Promise<ExitCode> {
  const records: LogRecord[] = [];
  const inputs = files.length === 0 ? ['-'] : files;
  for (const file of inputs) {
    try {
      records.push(...(await readRecords(openInput(file))));
    } catch (error) {
      printErrors(console, options, [`${file}: ${String(error)}`]);
      return exitCode.environment;
    }
  }
  const timeline = buildTimeline(records, request);
  printResult(console, options, timeline, renderTimeline);
  return timeline.records.length === 0 ? exitCode.remote : exitCode.ok;
}

function openInput(file: string): Readable {
  return file === '-' ? process.stdin : createReadStream(file);
}

async function readRecords(input: Readable): Promise<readonly LogRecord[]> {
  const records: LogRecord[] = [];
  for await (const line of createInterface({input})) {
    const record = parseLogLine(line);
    if (record !== undefined) records.push(record);
  }
  return records;
}
