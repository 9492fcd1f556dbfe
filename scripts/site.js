// Runs a site on loopback until SIGTERM; builds the binary first if it is missing.
// The build prints to standard error, as the only line on standard output is the JSON that the site prints when it is ready.
import {execFileSync} from 'node:child_process';
import {existsSync} from 'node:fs';

if (!existsSync('dist/wasabiring')) {
  execFileSync('npm', ['run', '--silent', 'build'], {stdio: ['ignore', 2, 2]});
}
await import('../build/packages/bench/src/site-main.js');
