import {parseArgs} from 'node:util';
import {Site} from './site.js';
import {describeSite} from './site-options.js';

const {values} = parseArgs({
  options: {
    'base-port': {type: 'string', default: '18000'},
    data: {type: 'string'},
  },
});
const basePort = Number(values['base-port']);
if (values.data === undefined || !Number.isInteger(basePort)) {
  console.error('usage: npm run site -- --base-port N --data DIR');
  process.exit(2);
}

const stopped = new Promise<void>(resolve => {
  process.once('SIGTERM', () => resolve());
  process.once('SIGINT', () => resolve());
  if (process.env['npm_lifecycle_event'] === 'site') watchParent(resolve);
});

/** Calls `onEnd` when the parent process exits: npm runs this program in a shell that exits on SIGTERM without forwarding the signal. */
function watchParent(onEnd: () => void): void {
  const {ppid} = process;
  const pollIntervalMs = 200;
  const timer = setInterval(() => {
    if (process.ppid !== ppid) onEnd();
  }, pollIntervalMs);
  timer.unref();
}

const site = await Site.start(describeSite(values.data, {basePort}));
try {
  const ready = site
    .waitUntilReady()
    .then(() => console.log(JSON.stringify(site.describe())));
  await Promise.race([ready.then(() => stopped), stopped]);
} finally {
  await site[Symbol.asyncDispose]();
}
process.exit();
