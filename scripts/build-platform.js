// Builds the binary with the platform's adapter, target/wasabiring, from the compiled packages.
import {writeBinary} from './bundle.js';

await writeBinary({
  entryPoint: 'build/platform/src/main.js',
  folder: 'target',
  useCodeCache: true,
});
