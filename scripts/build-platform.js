// Builds the files of the platform from the compiled packages: target/wasabiring, and the same bundle with a code cache for deploy/system.toml.
import {spawnSync} from 'node:child_process';
import {copyFileSync, readFileSync, rmSync, statSync} from 'node:fs';
import process from 'node:process';
import {parse} from 'smol-toml';
import {writeBinary} from './bundle.js';

await writeBinary({
  entryPoint: 'build/platform/src/main.js',
  folder: 'target',
  useCodeCache: true,
});
copyFileSync('scripts/start.cjs', 'target/start.cjs');
writeCodeCache();

/** Writes the code cache with the runtime options of the deployment, as a cache is valid only for the options it was written with. */
function writeCodeCache() {
  const {roles} = parse(readFileSync('deploy/system.toml', 'utf8'));
  const [, ...commandWords] = roles.entry.run.split(' ');
  const options = commandWords.filter(word => word.startsWith('--'));
  const args = [...options, 'target/start.cjs', 'entry'];
  rmSync('target/wasabiring.cache', {force: true});
  // Without settings the program exits after loading all of its modules.
  spawnSync(process.execPath, args, {
    env: {
      ...process.env,
      WASABIRING_CONFIG: '',
      WASABIRING_WRITES_CACHE: 'yes',
    },
    stdio: 'ignore',
  });
  // Throws when no cache was written: every start would then recompile the bundle.
  statSync('target/wasabiring.cache');
}
