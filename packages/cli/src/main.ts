import {standardConsole} from './console.js';
import {runProgram} from './program.js';

void runProgram(process.argv.slice(2), standardConsole).then(code =>
  process.exit(code),
);
