import type {Command} from 'commander';
import type {ConfigurationSource, VersionedSource} from '#model';
import type {UpstreamStatus} from '#protocol';
import {
  describeSettingsError,
  diffConfiguration,
  findRepeatedKeys,
  parseConfiguration,
  type RepeatedKey,
} from '#settings';
import {type ExitCode, exitCode} from '#telemetry';
import {
  addControlOptions,
  type CommonOptions,
  computeCommandDeadline,
  type Context,
  type ControlOptions,
  parseCount,
  reportFailure,
  setAction,
} from './command.js';
import {printResult} from './console.js';
import {type ApplyOptions, applyConfig} from './config-apply.js';
import {
  fetchConfigStatus,
  fetchInForce,
  type InForce,
  type RegionInForce,
} from './config-status.js';
import {ControlClient} from './control-client.js';
import {reportSettingsErrors} from './settings-commands.js';
import {
  addSourceOptions,
  readSource,
  type SourceFiles,
} from './source-files.js';
import {renderTable} from './table.js';

/** Adds `config check`, `diff`, `apply`, `status`, `history` and `show`. */
export function addConfigCommands(program: Command, context: Context): void {
  const group = program
    .command('config')
    .description('Check, apply and follow the configuration of the service');
  setAction(
    addSourceOptions(
      group.command('check').description('Check files; exit 3 if wrong'),
    ),
    context,
    async (options: SourceFiles & CommonOptions) =>
      checkFiles(context, options),
  );
  setAction(
    addControlOptions(
      addSourceOptions(
        group.command('diff').description('Show what applying would change'),
      ),
    ),
    context,
    (options: ControlOptions & SourceFiles) => showDifference(context, options),
  );
  setAction(
    addControlOptions(
      addSourceOptions(
        group.command('apply').description('Put a configuration in force'),
      ),
    )
      .option('--expect <version>', 'the version it builds on', parseCount)
      .option('--change-id <id>', 'names the change; a resend has the same')
      .option('--author <name>', 'who makes the change')
      .option('--wait', 'until every process has it'),
    context,
    (options: ApplyOptions) => applyConfig(context, options),
  );
  setAction(
    addControlOptions(
      group.command('status').description('Show what is in force where'),
    ),
    context,
    (options: ControlOptions) => showStatus(context, options),
  );
  setAction(
    addControlOptions(
      group.command('history').description('List the accepted changes'),
    ),
    context,
    (options: ControlOptions) => showHistory(context, options),
  );
  setAction(
    addControlOptions(
      group.command('show').description('Print the accepted texts'),
    ),
    context,
    (options: ControlOptions) => showSource(context, options),
  );
}

function checkFiles(
  context: Context,
  options: SourceFiles & CommonOptions,
): ExitCode {
  return readSource(options).caseOf<ExitCode>({
    Left: errors => reportSettingsErrors(context, options, errors),
    Right: source => {
      const sites = Object.keys(source.overlays);
      const repeated = findRepeatedKeys(source);
      printResult(
        context.console,
        options,
        {valid: true, sites, repeated},
        renderCheck,
      );
      return exitCode.ok;
    },
  });
}

function renderCheck(result: {
  readonly sites: readonly string[];
  readonly repeated: readonly RepeatedKey[];
}): string {
  return [
    `valid: base and ${result.sites.length} overlays`,
    ...result.repeated.map(
      ({site, key, value}) =>
        `note: overlay "${site}" repeats ${key} = ${value} of the base`,
    ),
  ].join('\n');
}

async function showDifference(
  context: Context,
  options: ControlOptions & SourceFiles,
): Promise<ExitCode> {
  const read = readSource(options);
  if (read.isLeft()) {
    return reportSettingsErrors(context, options, read.swap().orDefault([]));
  }
  const source = read.unsafeCoerce();
  const status = await fetchConfigStatus(
    new ControlClient(options.control),
    computeCommandDeadline(options),
  );
  return status.caseOf<ExitCode>({
    Left: failure => reportFailure(context.console, options, failure),
    Right: ({current}) => {
      const changes = compareSources(current.source, source);
      printResult(
        context.console,
        options,
        {version: current.version, changes},
        renderChanges,
      );
      return exitCode.ok;
    },
  });
}

/** What changes at a site; the base's own changes are those of every site without an overlay. */
interface SiteChanges {
  readonly site: string;
  readonly lines: readonly string[];
}

const everyOtherSite = '(every other site)';

function compareSources(
  before: ConfigurationSource,
  after: ConfigurationSource,
): readonly SiteChanges[] {
  const sites = new Set([
    ...Object.keys(before.overlays),
    ...Object.keys(after.overlays),
  ]);
  return [everyOtherSite, ...[...sites].sort()].map(site => ({
    site,
    lines: parseConfiguration(before, site)
      .chain(old =>
        parseConfiguration(after, site).map(fresh =>
          diffConfiguration(old, fresh),
        ),
      )
      .mapLeft(errors => errors.map(describeSettingsError))
      .extract(),
  }));
}

function renderChanges(result: {
  readonly version: number;
  readonly changes: readonly SiteChanges[];
}): string {
  const sites = result.changes
    .filter(({lines}) => lines.length > 0)
    .map(({site, lines}) =>
      [site, ...lines.map(line => `  ${line}`)].join('\n'),
    );
  return sites.length === 0
    ? `no difference to version ${result.version}`
    : [`against version ${result.version}:`, ...sites].join('\n');
}

async function showStatus(
  {console}: Context,
  options: ControlOptions,
): Promise<ExitCode> {
  const status = await fetchInForce(
    new ControlClient(options.control),
    computeCommandDeadline(options),
  );
  return status.caseOf<ExitCode>({
    Left: failure => reportFailure(console, options, failure),
    Right: found => {
      printResult(console, options, found, renderStatus);
      return exitCode.ok;
    },
  });
}

function renderStatus({
  current,
  processes,
  regions,
  upstream,
}: InForce): string {
  const rows = processes.map(({process, role, version}) => [
    process,
    role,
    version ?? '-',
    describeStanding(version, current.version),
  ]);
  return [
    `version ${current.version} by ${current.author} (change ${current.changeId})`,
    ...(upstream === undefined ? [] : [renderUpstream(upstream)]),
    renderTable(['PROCESS', 'ROLE', 'VERSION', 'STATE'], rows),
    ...(regions.length === 0 ? [] : [renderRegions(regions)]),
  ].join('\n');
}

function renderUpstream({version, ageMs}: UpstreamStatus): string {
  const heard =
    ageMs === undefined ? 'never heard from' : `heard from ${ageMs} ms ago`;
  return `follows an origin, ${heard}, its newest version seen ${version}`;
}

function renderRegions(regions: readonly RegionInForce[]): string {
  return renderTable(
    ['REGION', 'ADOPTED', 'LOWEST', 'HIGHEST', 'REPORTED', 'LAGGING', 'AGE MS'],
    regions.map(status =>
      status.version === undefined
        ? [status.region, '-', '-', '-', '-', 'not reported', '-']
        : [
            status.region,
            status.version,
            status.lowest,
            status.highest,
            `${status.processes} of ${status.processes + status.silent}`,
            status.lagging.join(' ') || '-',
            status.ageMs,
          ],
    ),
  );
}

function describeStanding(
  version: number | undefined,
  current: number,
): string {
  if (version === undefined) return 'not reported';
  return version < current ? 'behind' : 'in force';
}

async function showHistory(
  {console}: Context,
  options: ControlOptions,
): Promise<ExitCode> {
  const status = await fetchConfigStatus(
    new ControlClient(options.control),
    computeCommandDeadline(options),
  );
  return status.caseOf<ExitCode>({
    Left: failure => reportFailure(console, options, failure),
    Right: ({history}) => {
      printResult(console, options, history, () =>
        renderTable(
          ['VERSION', 'AUTHOR', 'CHANGE'],
          history.map(each => [each.version, each.author, each.changeId]),
        ),
      );
      return exitCode.ok;
    },
  });
}

async function showSource(
  {console}: Context,
  options: ControlOptions,
): Promise<ExitCode> {
  const status = await fetchConfigStatus(
    new ControlClient(options.control),
    computeCommandDeadline(options),
  );
  return status.caseOf<ExitCode>({
    Left: failure => reportFailure(console, options, failure),
    Right: ({current}) => {
      printResult(console, options, current, renderSource);
      return exitCode.ok;
    },
  });
}

function renderSource({source, version}: VersionedSource): string {
  const overlays = Object.entries(source.overlays).map(
    ([site, text]) => `# overlay "${site}"\n${text}`,
  );
  return [`# base, version ${version}\n${source.base}`, ...overlays].join('\n');
}
