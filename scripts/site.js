// Runs a site on loopback until SIGTERM; builds the binary first where there is none.
// Standard output is left to the site's one line.
import {execFileSync} from 'node:child_process';
import {existsSync} from 'node:fs';

if (!existsSync('dist/wasabiring')) {
  execFileSync('npm', ['run', '--silent', 'build'], {stdio: ['ignore', 2, 2]});
}
await import('../build/packages/bench/src/site-main.js');
