import {describeSettingsError, type SettingsError} from '#settings';
import type {Either} from 'purify-ts';

/** The shortest valid settings of an entry. */
export const minimalEntrySettings = `
[process]
id = "entry-1"
site = "gilgit"
region = "karakoram"
failure_domain = "a"
controls = ["127.0.0.1:7100"]
[entry]
http = "127.0.0.1:8080"
listen = "127.0.0.1:7200"
`;

/** Lists the errors of an outcome as lines; none when it succeeded. */
export function listErrors(
  outcome: Either<readonly SettingsError[], unknown>,
): readonly string[] {
  return outcome.swap().orDefault([]).map(describeSettingsError);
}
