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
  type CommandContext,
  type ControlOptions,
  parseCount,
  reportFailure,
  setAction,
} from './command.js';
import {printResult} from './console.js';
import {type ApplyOptions, applyConfig} from './config-apply.js';
import {
  fetchConfigStatus,
  fetchRollout,
  type ConfigRollout,
  type ProcessVersion,
  type RegionRollout,
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
export function addConfigCommands(
  program: Command,
  context: CommandContext,
): void {
  const group = program
    .command('config')
    .description('Check, apply and inspect the configuration');
  setAction(
    addSourceOptions(
      group.command('check').description('Check files; exit 3 if invalid'),
    ),
    context,
    async (options: SourceFiles & CommonOptions) =>
      checkFiles(context, options),
  );
  setAction(
    addControlOptions(
      addSourceOptions(
        group.command('diff').description('Show what would change if applied'),
      ),
    ),
    context,
    (options: ControlOptions & SourceFiles) => showDifference(context, options),
  );
  setAction(
    addControlOptions(
      addSourceOptions(
        group.command('apply').description('Apply a configuration'),
      ),
    )
      .option(
        '--expect <version>',
        'version that the change is based on',
        parseCount,
      )
      .option('--change-id <id>', 'id of the change; reuse it for retries')
      .option('--author <name>', 'author of the change')
      .option('--wait', 'wait until every process has it in force'),
    context,
    (options: ApplyOptions) => applyConfig(context, options),
  );
  setAction(
    addControlOptions(
      group
        .command('status')
        .description('Show the version in force at each process'),
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
      group.command('show').description('Print the accepted configuration'),
    ),
    context,
    (options: ControlOptions) => showSource(context, options),
  );
}

function checkFiles(
  context: CommandContext,
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
  context: CommandContext,
  options: ControlOptions & SourceFiles,
): Promise<ExitCode> {
  const parsedSource = readSource(options);
  if (parsedSource.isLeft()) {
    return reportSettingsErrors(
      context,
      options,
      parsedSource.swap().orDefault([]),
    );
  }
  const source = parsedSource.unsafeCoerce();
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

/** Changes at one site. Changes to the base are listed for the sites without an overlay. */
interface SiteChanges {
  readonly site: string;
  readonly lines: readonly string[];
}

const sitesWithoutOverlay = '(every other site)';

function compareSources(
  before: ConfigurationSource,
  after: ConfigurationSource,
): readonly SiteChanges[] {
  const sites = new Set([
    ...Object.keys(before.overlays),
    ...Object.keys(after.overlays),
  ]);
  return [sitesWithoutOverlay, ...[...sites].sort()].map(site => ({
    site,
    lines: parseConfiguration(before, site)
      .chain(oldConfiguration =>
        parseConfiguration(after, site).map(newConfiguration =>
          diffConfiguration(oldConfiguration, newConfiguration),
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
    ? `no difference from version ${result.version}`
    : [`changes from version ${result.version}:`, ...sites].join('\n');
}

async function showStatus(
  {console}: CommandContext,
  options: ControlOptions,
): Promise<ExitCode> {
  const status = await fetchRollout(
    new ControlClient(options.control),
    computeCommandDeadline(options),
  );
  return status.caseOf<ExitCode>({
    Left: failure => reportFailure(console, options, failure),
    Right: rollout => {
      printResult(console, options, rollout, renderStatus);
      return exitCode.ok;
    },
  });
}

function renderStatus({
  current,
  processes,
  regions,
  upstream,
}: ConfigRollout): string {
  const rows = processes.map(each => [
    each.process,
    each.role,
    each.version ?? '-',
    describeVersionState(each, current.version),
  ]);
  return [
    `version ${current.version} by ${current.author} (change ${current.changeId})`,
    ...(upstream === undefined ? [] : [renderUpstream(upstream)]),
    renderTable(['PROCESS', 'ROLE', 'VERSION', 'STATE'], rows),
    ...(regions.length === 0 ? [] : [renderRegions(regions)]),
  ].join('\n');
}

function renderUpstream({version, ageMs}: UpstreamStatus): string {
  const lastContact =
    ageMs === undefined ? 'never contacted' : `last contact ${ageMs} ms ago`;
  return `follows an origin, ${lastContact}, newest version seen ${version}`;
}

function renderRegions(regions: readonly RegionRollout[]): string {
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

function describeVersionState(
  {version, catchingUp}: ProcessVersion,
  current: number,
): string {
  if (version === undefined) return 'not reported';
  if (catchingUp) return 'catching up';
  return version < current ? 'behind' : 'in force';
}

async function showHistory(
  {console}: CommandContext,
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
  {console}: CommandContext,
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
