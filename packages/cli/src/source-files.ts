import {InvalidArgumentError, type Command} from 'commander';
import {type Either, Left} from 'purify-ts';
import type {ConfigurationSource, SiteName} from '#model';
import {
  checkConfigurationSource,
  extractConfigurationSource,
  readText,
  type SettingsError,
} from '#settings';

/** Files that hold the base and the overlays of a configuration. */
export interface SourceFiles {
  readonly base: string;
  readonly overlay?: readonly OverlayFile[];
}

export interface OverlayFile {
  readonly site: SiteName;
  readonly file: string;
}

/** Adds `--base` and `--overlay` (repeatable). */
export function addSourceOptions(command: Command): Command {
  return command
    .requiredOption('--base <file>', 'base configuration (TOML)')
    .option(
      '--overlay <site=file>',
      'overrides for one site (TOML; repeatable)',
      collectOverlay,
    );
}

function collectOverlay(
  text: string,
  previous: readonly OverlayFile[] = [],
): readonly OverlayFile[] {
  const [site, ...file] = text.split('=');
  if (!site || file.join('=') === '') {
    throw new InvalidArgumentError('Expected SITE=FILE.');
  }
  if (previous.some(each => each.site === site)) {
    throw new InvalidArgumentError(`Site "${site}" has more than one overlay.`);
  }
  return [...previous, {site, file: file.join('=')}];
}

/** Reads and checks a configuration, without process tables; returns all errors found. */
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
