import {createReadStream} from 'node:fs';
import {createInterface} from 'node:readline';
import type {Readable} from 'node:stream';
import type {Command} from 'commander';
import {type ExitCode, exitCode} from '#telemetry';
import {type CommonOptions, type Context, setAction} from './command.js';
import {printErrors, printResult} from './console.js';
import {decodeLine, type LogRecord} from './record.js';
import {collectStory, renderStory} from './story.js';

/** Adds `explain`, which tells a request's story from log files or standard input. */
export function addExplainCommand(program: Command, context: Context): void {
  setAction(
    program
      .command('explain <request> [files...]')
      .description(
        "Tell what happened to a request, from all processes' logs in files or on standard input",
      ),
    context,
    async (options: CommonOptions, request, ...rest) =>
      explain(context, options, request!, rest.flat()),
  );
}

async function explain(
  {console}: Context,
  options: CommonOptions,
  request: string,
  files: readonly string[],
): Promise<ExitCode> {
  const records: LogRecord[] = [];
  const sources = files.length === 0 ? ['-'] : files;
  for (const file of sources) {
    try {
      records.push(...(await readRecords(openSource(file))));
    } catch (error) {
      printErrors(console, options, [`${file}: ${String(error)}`]);
      return exitCode.environment;
    }
  }
  const story = collectStory(records, request);
  printResult(console, options, story, renderStory);
  return story.records.length === 0 ? exitCode.remote : exitCode.ok;
}

function openSource(file: string): Readable {
  return file === '-' ? process.stdin : createReadStream(file);
}

async function readRecords(source: Readable): Promise<readonly LogRecord[]> {
  const records: LogRecord[] = [];
  for await (const line of createInterface({input: source})) {
    const record = decodeLine(line);
    if (record !== undefined) records.push(record);
  }
  return records;
}
