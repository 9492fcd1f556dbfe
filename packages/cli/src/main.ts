import {exitCode} from '#telemetry';
import {printErrors, standardConsole} from './console.js';
import {runProgram} from './program.js';

// A write error, such as EPIPE when the reader of a pipe has exited, does not fail the command.
process.stdout.on('error', () => {});
process.stderr.on('error', () => {});

void runProgram(process.argv.slice(2), standardConsole).then(
  code => process.exit(code),
  (error: unknown) => {
    printErrors(standardConsole, {json: true}, [`broken invariant: ${error}`]);
    process.exit(exitCode.brokenInvariant);
  },
);
