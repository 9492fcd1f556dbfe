import {exitCode} from '#telemetry';
import {printErrors, standardConsole} from './console.js';
import {runProgram} from './program.js';

void runProgram(process.argv.slice(2), standardConsole).then(
  code => process.exit(code),
  (error: unknown) => {
    printErrors(standardConsole, {json: true}, [`broken invariant: ${error}`]);
    process.exit(exitCode.brokenInvariant);
  },
);
