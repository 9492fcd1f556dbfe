import {writeFileSync} from 'node:fs';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {Site} from './site.mjs';

const exitHeld = 0;
const exitBroken = 1;
const exitNotRun = 2;
const maxMs = 115_000;

/**
 * Runs a case: `play` returns the findings that break its rule. Writes the record beside the script, ends
 * all processes and exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
 */
export async function runCase(url, play) {
  const folder = dirname(fileURLToPath(url));
  const record = [];
  const site = new Site({root: join(folder, '..', '..'), record});
  const hasTrouble = process.env.TROUBLE !== '0';
  site.note('case', {trouble: hasTrouble});
  let code = exitNotRun;
  const limit = setTimeout(() => void finish('the time is over'), maxMs);
  async function finish(detail) {
    clearTimeout(limit);
    await site.close();
    record.push(`${detail}; exit ${code}`);
    writeFileSync(join(folder, 'record.txt'), `${record.join('\n')}\n`);
    console.log(detail);
    process.exit(code);
  }
  for (const signal of ['SIGINT', 'SIGTERM']) {
    process.once(signal, () => void finish(`ended by ${signal}`));
  }
  try {
    const findings = await play(site, hasTrouble);
    for (const finding of findings) site.note('finding', {finding});
    code = findings.length > 0 ? exitBroken : exitHeld;
    const first = findings[0] === undefined ? '' : `, the first: ${findings[0]}`;
    await finish(`${findings.length} findings${first}`);
  } catch (error) {
    await finish(`could not run: ${error.stack ?? error}`);
  }
}
