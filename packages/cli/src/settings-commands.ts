import {type Command, Option} from 'commander';
import {type Either} from 'purify-ts';
import {
  describeSettingsKeys,
  describeSettingsError,
  type KeyDescription,
  listConfigurationKeys,
  type LoadedSettings,
  loadProcessSettings,
  loadRole,
  parseConfiguration,
  renderValue,
  type Role,
  type SettingsError,
  type SettingsFiles,
} from '#settings';
import {type ExitCode, exitCode} from '#telemetry';
import {type CommonOptions, type CommandContext, setAction} from './command.js';
import {printErrors, printResult} from './console.js';

interface SettingsOptions extends CommonOptions, SettingsFiles {
  readonly role?: Role['kind'];
}

/** Adds `settings check`, `settings show` and `settings keys`. */
export function addSettingsCommands(
  program: Command,
  context: CommandContext,
): void {
  const group = program
    .command('settings')
    .description('Check and show the settings of a process');
  const addFileOptions = (command: Command) =>
    command
      .requiredOption('--settings <file>', 'process settings (TOML)')
      .option(
        '--overlay <file>',
        'settings that override those of --settings (TOML)',
      )
      .addOption(
        new Option(
          '--role <role>',
          'required if the files do not determine it',
        ).choices(['control', 'entry', 'agent']),
      );
  setAction(
    addFileOptions(
      group.command('check').description('Check files; exit 3 if invalid'),
    ),
    context,
    async (options: SettingsOptions) => checkSettings(context, options),
  );
  setAction(
    addFileOptions(
      group
        .command('show')
        .description('Show effective settings, with defaults'),
    ),
    context,
    async (options: SettingsOptions) => showSettings(context, options),
  );
  setAction(
    group.command('keys').description('List all supported keys'),
    context,
    async (options: CommonOptions) => {
      printResult(context.console, options, describeSettingsKeys(), renderKeys);
      return exitCode.ok;
    },
  );
}

function loadSettings(
  options: SettingsOptions,
): Either<readonly SettingsError[], LoadedSettings> {
  const {settings, overlay, role} = options;
  const files = {settings, ...(overlay !== undefined && {overlay})};
  if (role !== undefined) return loadProcessSettings(files, role);
  return loadRole(files).chain<readonly SettingsError[], LoadedSettings>(
    loadedRole => loadProcessSettings(files, loadedRole),
  );
}

function checkSettings(
  {console}: CommandContext,
  options: SettingsOptions,
): ExitCode {
  return loadSettings(options).caseOf<ExitCode>({
    Left: errors => reportSettingsErrors({console}, options, errors),
    Right: ({process}) => {
      const summary = {
        valid: true,
        id: process.id,
        role: process.role.kind,
        site: process.place.site,
      };
      printResult(
        console,
        options,
        summary,
        ({id, role, site}) => `valid: ${role} "${id}" at site "${site}"`,
      );
      return exitCode.ok;
    },
  });
}

function showSettings(
  {console}: CommandContext,
  options: SettingsOptions,
): ExitCode {
  const keyValues = loadSettings(options).chain(
    ({process, keys, configuration}) =>
      parseConfiguration(configuration, process.place.site).map(merged => [
        ...keys,
        ...listConfigurationKeys(merged),
      ]),
  );
  return keyValues.caseOf<ExitCode>({
    Left: errors => reportSettingsErrors({console}, options, errors),
    Right: keys => {
      printResult(console, options, Object.fromEntries(keys), () =>
        keys.map(([key, value]) => `${key} = ${renderValue(value)}`).join('\n'),
      );
      return exitCode.ok;
    },
  });
}

/** Prints settings errors; returns the exit code. */
export function reportSettingsErrors(
  {console}: Pick<CommandContext, 'console'>,
  options: CommonOptions,
  errors: readonly SettingsError[],
): ExitCode {
  printErrors(console, options, errors.map(describeSettingsError));
  return exitCode.settings;
}

function renderKeys(keys: readonly KeyDescription[]): string {
  return keys
    .map(({key, expected, presence, fallback, baseOnly}) => {
      const valueIfAbsent =
        fallback === undefined ? presence : `default ${fallback}`;
      return `${key}: ${expected} (${valueIfAbsent}${baseOnly ? ', base only' : ''})`;
    })
    .join('\n');
}
