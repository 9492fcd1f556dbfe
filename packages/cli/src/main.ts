import {exitCode} from '#telemetry';
import {printErrors, standardConsole} from './console.js';
import {runProgram} from './program.js';

// A reader that has gone, such as the end of a pipe, is no reason to fail.
process.stdout.on('error', () => {});
process.stderr.on('error', () => {});

void runProgram(process.argv.slice(2), standardConsole).then(
  code => process.exit(code),
  (error: unknown) => {
    printErrors(standardConsole, {json: true}, [`broken invariant: ${error}`]);
    process.exit(exitCode.brokenInvariant);
  },
);
