import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

/** Lends a new folder and removes it after use; the folder of a use that fails stays. */
export async function lendFolder<Result>(
  name: string,
  use: (folder: string) => Promise<Result>,
): Promise<Result> {
  const folder = mkdtempSync(join(tmpdir(), `wasabiring-${name}-`));
  const result = await use(folder);
  rmSync(folder, {recursive: true});
  return result;
}
