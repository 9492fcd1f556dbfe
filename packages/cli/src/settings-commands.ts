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
import {type CommonOptions, type Context, setAction} from './command.js';
import {printErrors, printResult} from './console.js';

interface SettingsOptions extends CommonOptions, SettingsFiles {
  readonly role?: Role['kind'];
}

/** Adds `settings check`, `settings show` and `settings keys`. */
export function addSettingsCommands(program: Command, context: Context): void {
  const group = program
    .command('settings')
    .description("Check and show a process's settings");
  const addFiles = (command: Command) =>
    command
      .requiredOption('--settings <file>', 'settings of the process, in TOML')
      .option('--overlay <file>', 'differences, merged on top of the settings')
      .addOption(
        new Option('--role <role>', 'unless the files tell').choices([
          'control',
          'entry',
          'agent',
        ]),
      );
  setAction(
    addFiles(
      group.command('check').description('Check files; exit 3 if wrong'),
    ),
    context,
    async (options: SettingsOptions) => checkSettings(context, options),
  );
  setAction(
    addFiles(
      group.command('show').description('Show what holds, defaults included'),
    ),
    context,
    async (options: SettingsOptions) => showSettings(context, options),
  );
  setAction(
    group.command('keys').description('List every key that may be stated'),
    context,
    async (options: CommonOptions) => {
      printResult(context.console, options, describeSettingsKeys(), renderKeys);
      return exitCode.ok;
    },
  );
}

function load(
  options: SettingsOptions,
): Either<readonly SettingsError[], LoadedSettings> {
  const {settings, overlay, role} = options;
  const files = {settings, ...(overlay !== undefined && {overlay})};
  if (role !== undefined) return loadProcessSettings(files, role);
  return loadRole(files).chain<readonly SettingsError[], LoadedSettings>(
    found => loadProcessSettings(files, found),
  );
}

function checkSettings({console}: Context, options: SettingsOptions): ExitCode {
  return load(options).caseOf<ExitCode>({
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

function showSettings({console}: Context, options: SettingsOptions): ExitCode {
  const listed = load(options).chain(({process, keys, configuration}) =>
    parseConfiguration(configuration, process.place.site).map(merged => [
      ...keys,
      ...listConfigurationKeys(merged),
    ]),
  );
  return listed.caseOf<ExitCode>({
    Left: errors => reportSettingsErrors({console}, options, errors),
    Right: keys => {
      printResult(console, options, Object.fromEntries(keys), () =>
        keys.map(([key, value]) => `${key} = ${renderValue(value)}`).join('\n'),
      );
      return exitCode.ok;
    },
  });
}

/** Prints what is wrong with texts and gives the exit code. */
export function reportSettingsErrors(
  {console}: Pick<Context, 'console'>,
  options: CommonOptions,
  errors: readonly SettingsError[],
): ExitCode {
  printErrors(console, options, errors.map(describeSettingsError));
  return exitCode.settings;
}

function renderKeys(keys: readonly KeyDescription[]): string {
  return keys
    .map(({key, expected, presence, fallback, baseOnly}) => {
      const absent = fallback === undefined ? presence : `default ${fallback}`;
      return `${key}: ${expected} (${absent}${baseOnly ? ', base only' : ''})`;
    })
    .join('\n');
}
