// Bundles compiled packages into one CommonJS file and injects it into a copy of the running node binary.
import process from 'node:process';
import {execFileSync} from 'node:child_process';
import {
  chmodSync,
  copyFileSync,
  mkdirSync,
  readFileSync,
  renameSync,
  writeFileSync,
} from 'node:fs';
import {build} from 'esbuild';
import {inject} from 'postject';

const sentinelFuse = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

/** Optional modules, most of them native add-ons, are left out; the modules that load them have fallbacks. */
const omitNativeAddons = {
  name: 'omit-native-addons',
  setup(bundler) {
    const filter = /^(msgpackr-extract|unix-dgram|pino-pretty)$/;
    bundler.onResolve({filter}, ({path}) => ({path, namespace: 'omitted'}));
    bundler.onLoad({filter: /.*/, namespace: 'omitted'}, ({path}) => ({
      contents: `throw new Error('${path} is not part of this binary')`,
    }));
  },
};

/** Writes the binary `FOLDER/wasabiring`, whose entry point is a compiled module. */
export async function writeBinary({entryPoint, folder, useCodeCache = false}) {
  mkdirSync(folder, {recursive: true});
  await build({
    entryPoints: [entryPoint],
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    minify: useCodeCache,
    outfile: `${folder}/wasabiring.cjs`,
    plugins: [omitNativeAddons],
    logLevel: 'warning',
  });
  writeFileSync(
    `${folder}/sea.json`,
    JSON.stringify({
      main: `${folder}/wasabiring.cjs`,
      output: `${folder}/wasabiring.blob`,
      disableExperimentalSEAWarning: true,
      useCodeCache,
    }),
  );
  execFileSync(
    process.execPath,
    ['--experimental-sea-config', `${folder}/sea.json`],
    {stdio: 'ignore'},
  );
  // A running binary cannot be written to (ETXTBSY), but can be replaced by a rename.
  const newBinary = `${folder}/wasabiring.new`;
  copyFileSync(process.execPath, newBinary);
  chmodSync(newBinary, 0o755);
  const blob = readFileSync(`${folder}/wasabiring.blob`);
  await inject(newBinary, 'NODE_SEA_BLOB', blob, {sentinelFuse});
  renameSync(newBinary, `${folder}/wasabiring`);
}
