import type {Command} from 'commander';
import type {Address, Instant} from '#model';
import type {ControlStatus} from '#protocol';
import {type ExitCode, exitCode} from '#telemetry';
import {
  addTimeoutOption,
  collectAddress,
  collectUrl,
  computeCommandDeadline,
  type CommandContext,
  type RemoteOptions,
  setAction,
} from './command.js';
import {printErrors, printResult} from './console.js';
import {requestOnce} from './control-client.js';
import {requestEntry} from './entry-client.js';
import {renderMembers} from './member-table.js';
import {renderTable} from './table.js';

interface StatusOptions extends RemoteOptions {
  readonly control?: readonly Address[];
  readonly entry?: readonly string[];
}

type JsonObject = Readonly<Record<string, unknown>>;

/** The status of one process, or why it could not be read. */
type ProcessReport<Status> =
  | {readonly kind: 'answered'; readonly at: string; readonly status: Status}
  | {readonly kind: 'failed'; readonly at: string; readonly detail: string};

interface SystemStatus {
  readonly controls: ReadonlyArray<ProcessReport<ControlStatus>>;
  readonly entries: ReadonlyArray<ProcessReport<JsonObject>>;
}

/** Adds `status`, which shows the status of controls and entries. */
export function addStatusCommand(
  program: Command,
  context: CommandContext,
): void {
  const command = program
    .command('status')
    .description('Show controls, targets, entries and histograms')
    .option(
      '--control <address>',
      'IP:PORT of a control (repeatable)',
      collectAddress,
    )
    .option('--entry <url>', 'base URL of an entry (repeatable)', collectUrl);
  setAction(addTimeoutOption(command), context, (options: StatusOptions) =>
    showStatus(context, options),
  );
}

async function showStatus(
  {console}: CommandContext,
  options: StatusOptions,
): Promise<ExitCode> {
  const {control = [], entry = []} = options;
  if (control.length + entry.length === 0) {
    printErrors(console, options, ['state --control or --entry']);
    return exitCode.usage;
  }
  const deadline = computeCommandDeadline(options);
  const [controls, entries] = await Promise.all([
    Promise.all(control.map(address => fetchControlStatus(address, deadline))),
    Promise.all(entry.map(url => fetchEntryStatus(url, deadline))),
  ]);
  printResult(console, options, {controls, entries}, renderSystemStatus);
  const isComplete = [...controls, ...entries].every(
    ({kind}) => kind === 'answered',
  );
  return isComplete ? exitCode.ok : exitCode.remote;
}

async function fetchControlStatus(
  address: Address,
  deadline: Instant,
): Promise<ProcessReport<ControlStatus>> {
  const reply = await requestOnce(address, 'control.status', {}, deadline);
  return reply.caseOf<ProcessReport<ControlStatus>>({
    Left: ({detail}) => ({kind: 'failed', at: address, detail}),
    Right: status => ({kind: 'answered', at: address, status}),
  });
}

async function fetchEntryStatus(
  url: string,
  deadline: Instant,
): Promise<ProcessReport<JsonObject>> {
  const query = {method: 'GET', path: '/v1/status'} as const;
  const reply = await requestEntry([url], query, deadline);
  return reply.caseOf<ProcessReport<JsonObject>>({
    Left: ({detail}) => ({kind: 'failed', at: url, detail}),
    Right: ({body}) => ({kind: 'answered', at: url, status: body}),
  });
}

function renderSystemStatus({controls, entries}: SystemStatus): string {
  return [
    ...controls.map(report => renderReport('control', report, renderControl)),
    ...entries.map(report => renderReport('entry', report, renderEntry)),
  ].join('\n\n');
}

function renderReport<Status>(
  role: string,
  report: ProcessReport<Status>,
  render: (status: Status) => readonly string[],
): string {
  if (report.kind === 'failed') return `${role} ${report.at}: ${report.detail}`;
  const lines = render(report.status).flatMap(text => text.split('\n'));
  return [`${role} ${report.at}`, ...lines.map(line => `  ${line}`)].join('\n');
}

function renderControl(status: ControlStatus): readonly string[] {
  const targets = status.targets.map(each => [
    each.target,
    each.service,
    each.address,
    each.place.failureDomain,
    each.leaving ? 'leaving' : 'serving',
  ]);
  const entries = status.entries.map(each => [
    each.entry,
    each.epoch,
    each.address,
    each.place.failureDomain,
  ]);
  return [
    `${status.member}: ${status.role} in term ${status.term}, committed ${status.commitIndex}, configuration ${status.configVersion}, jobs ${status.jobs}`,
    ...(status.catchingUp
      ? ['catching up with the leader: the state below may be old']
      : []),
    renderMembers(status),
    ...(status.repair === undefined ? [] : [`repair: ${status.repair}`]),
    ...renderEvacuated(status),
    renderTable(['TARGET', 'SERVICE', 'ADDRESS', 'DOMAIN', 'STATE'], targets),
    renderTable(['ENTRY', 'EPOCH', 'ADDRESS', 'DOMAIN'], entries),
  ];
}

function renderEvacuated({evacuated = []}: ControlStatus): readonly string[] {
  if (evacuated.length === 0) return [];
  return [`evacuated failure domains: ${evacuated.join(', ')}`];
}

const histogramColumns = [
  'team',
  'service',
  'measure',
  'count',
  'p50',
  'p90',
  'p99',
  'max',
];

function renderEntry(status: JsonObject): readonly string[] {
  const {histograms, ...others} = status;
  const lines = Object.entries(others).map(
    ([key, value]) => `${key}: ${JSON.stringify(value)}`,
  );
  if (!Array.isArray(histograms)) return lines;
  const rows = histograms.map((each: JsonObject) =>
    histogramColumns.map(column => String(each?.[column] ?? '')),
  );
  const headers = histogramColumns.map(column => column.toUpperCase());
  return [...lines, renderTable(headers, rows)];
}
