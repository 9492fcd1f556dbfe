import {setTimeout as sleep} from 'node:timers/promises';
import {runCase} from '../lib-2/script.mjs';

/** `config_apply_ms` of the site file. */
const applyMs = 2000;
const notFound = 404;
const prefixes = ['/p/', '/q/'];

await runCase(import.meta.url, async (site, hasTrouble) => {
  await site.open({entries: 3, agents: 4});
  await site.configure();
  await site.waitUntilReady();
  const name = hasTrouble ? 'r-1' : 'r-2';
  const status = await site.configure({furtherRoutes: [{name, path_prefix: '/q/'}]});
  if (status !== 200) return [];
  await sleep(applyMs + 500);
  const findings = [];
  for (const entry of site.list('entry')) {
    for (const prefix of prefixes) {
      if ((await site.askWaiting(entry, prefix)) !== notFound) continue;
      findings.push(`${entry.host} answers 404 for ${prefix}, a route of the acknowledged version`);
    }
    const {id, status: answered} = await site.submit({entry}).done;
    if (answered !== notFound) continue;
    findings.push(`${entry.host} answers 404 to the job ${id}, sent to a route of the acknowledged version`);
  }
  return findings;
});
