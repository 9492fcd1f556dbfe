// Builds what the platform runs from the compiled packages: target/wasabiring, and the same bundle with a code cache for deploy/system.toml.
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

/** A code cache holds for the runtime options that it was written with: those of the deployment. */
function writeCodeCache() {
  const {roles} = parse(readFileSync('deploy/system.toml', 'utf8'));
  const [, ...words] = roles.entry.run.split(' ');
  const options = words.filter(word => word.startsWith('--'));
  const start = [...options, 'target/start.cjs', 'entry'];
  rmSync('target/wasabiring.cache', {force: true});
  // Without settings the program refuses to start, once all of its modules are loaded.
  spawnSync(process.execPath, start, {
    env: {
      ...process.env,
      WASABIRING_CONFIG: '',
      WASABIRING_WRITES_CACHE: 'yes',
    },
    stdio: 'ignore',
  });
  // Throws where none was written: each start would compile the bundle anew.
  statSync('target/wasabiring.cache');
}
