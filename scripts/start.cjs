// Starts the bundle in the folder of this file from its code cache, which the build writes with the same runtime options.
'use strict';
const {readFileSync, writeFileSync} = require('node:fs');
const {dirname, join} = require('node:path');
const process = require('node:process');
const {Script} = require('node:vm');

const folder = dirname(process.argv[1]);
const bundle = join(folder, 'wasabiring.cjs');
const cache = join(folder, 'wasabiring.cache');
const isWriting = process.env.WASABIRING_WRITES_CACHE === 'yes';

/** Reads the code cache; undefined when there is none, in which case the bundle is compiled. */
function readCache() {
  if (isWriting) return undefined;
  try {
    return readFileSync(cache);
  } catch (error) {
    warn({event: 'code-cache-missing', detail: error.message});
    return undefined;
  }
}

function warn(line) {
  process.stderr.write(`${JSON.stringify({level: 40, ...line})}\n`);
}

const parameters = 'exports, require, module, __filename, __dirname';
const script = new Script(
  `(function (${parameters}) {${readFileSync(bundle, 'utf8')}\n})`,
  {filename: bundle, cachedData: readCache()},
);
if (script.cachedDataRejected) warn({event: 'code-cache-rejected'});
if (isWriting) {
  process.on('exit', () => writeFileSync(cache, script.createCachedData()));
}
script.runInThisContext()(exports, require, module, bundle, folder);
