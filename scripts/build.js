// Builds the binary dist/wasabiring from the compiled packages.
import {writeBinary} from './bundle.js';

await writeBinary({
  entryPoint: 'build/packages/cli/src/main.js',
  folder: 'dist',
});
