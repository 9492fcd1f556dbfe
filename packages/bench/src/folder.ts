import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

/** Passes a new temporary folder to the action and removes it afterwards, unless the action fails. */
export async function useTempFolder<Result>(
  name: string,
  action: (folder: string) => Promise<Result>,
): Promise<Result> {
  const folder = mkdtempSync(join(tmpdir(), `wasabiring-${name}-`));
  const result = await action(folder);
  rmSync(folder, {recursive: true});
  return result;
}
