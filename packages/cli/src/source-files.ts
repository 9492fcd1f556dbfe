import {InvalidArgumentError, type Command} from 'commander';
import {type Either, Left} from 'purify-ts';
import type {ConfigurationSource, SiteName} from '#model';
import {
  checkConfigurationSource,
  extractConfigurationSource,
  readText,
  type SettingsError,
} from '#settings';

/** Where the texts of a configuration are written. */
export interface SourceFiles {
  readonly base: string;
  readonly overlay?: readonly OverlayFile[];
}

export interface OverlayFile {
  readonly site: SiteName;
  readonly file: string;
}

/** Adds `--base` and `--overlay`, which may be repeated. */
export function addSourceOptions(command: Command): Command {
  return command
    .requiredOption('--base <file>', 'the whole service, in TOML')
    .option(
      '--overlay <site=file>',
      'where a site differs; repeat it for other sites',
      collectOverlay,
    );
}

function collectOverlay(
  text: string,
  before: readonly OverlayFile[] = [],
): readonly OverlayFile[] {
  const [site, ...file] = text.split('=');
  if (!site || file.join('=') === '') {
    throw new InvalidArgumentError('Expected SITE=FILE.');
  }
  if (before.some(each => each.site === site)) {
    throw new InvalidArgumentError(`Site "${site}" has two overlays.`);
  }
  return [...before, {site, file: file.join('=')}];
}

/** Reads and checks a configuration; fails with every error found. Process tables are left out. */
export function readSource(
  files: SourceFiles,
): Either<readonly SettingsError[], ConfigurationSource> {
  const base = readText(files.base, `base file "${files.base}"`);
  const overlays = (files.overlay ?? []).map(({site, file}) => ({
    site,
    text: readText(file, `overlay "${site}" in "${file}"`),
  }));
  const unreadable = [base, ...overlays.map(({text}) => text)].flatMap(text =>
    text.swap().orDefault([]),
  );
  if (unreadable.length > 0) return Left(unreadable);
  const texts = overlays.map(({site, text}) => [site, text.orDefault('')]);
  return base
    .chain(text => extractConfigurationSource(text, Object.fromEntries(texts)))
    .chain(checkConfigurationSource);
}
