// Bundles the compiled packages into one CommonJS file and puts it into a copy
// of the running node: dist/wasabiring.
import process from 'node:process';
import {execFileSync} from 'node:child_process';
import {
  chmodSync,
  copyFileSync,
  mkdirSync,
  renameSync,
  writeFileSync,
} from 'node:fs';
import {build} from 'esbuild';
import {inject} from 'postject';
import {readFileSync} from 'node:fs';

const fuse = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

/** Optional native parts cannot go into one binary; their users fall back without them. */
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

mkdirSync('dist', {recursive: true});
await build({
  entryPoints: ['build/cli/src/main.js'],
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  outfile: 'dist/wasabiring.cjs',
  plugins: [omitNativeAddons],
  logLevel: 'warning',
});
writeFileSync(
  'dist/sea.json',
  JSON.stringify({
    main: 'dist/wasabiring.cjs',
    output: 'dist/wasabiring.blob',
    disableExperimentalSEAWarning: true,
  }),
);
execFileSync(process.execPath, ['--experimental-sea-config', 'dist/sea.json'], {
  stdio: 'ignore',
});
// A running binary cannot be written to; it can be replaced.
const fresh = 'dist/wasabiring.new';
copyFileSync(process.execPath, fresh);
chmodSync(fresh, 0o755);
await inject(fresh, 'NODE_SEA_BLOB', readFileSync('dist/wasabiring.blob'), {
  sentinelFuse: fuse,
});
renameSync(fresh, 'dist/wasabiring');
