// Measures the cost of the leases of many targets: CPU time of each control replica and traffic of each agent.
// Usage: npm run compile && node scripts/measure-renewals.js [TARGETS] [INTERVAL_MS] [SECONDS]
import {spawn} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {
  clearInterval,
  clearTimeout,
  setInterval,
  setTimeout,
} from 'node:timers';
import {setTimeout as sleep} from 'node:timers/promises';
import {monotonicClock} from '#model';
import {dialPeer} from '#protocol';

const [targets = 1300, intervalMs = 1000, seconds = 20] = process.argv
  .slice(2)
  .map(Number);
const clockTicksPerSecond = 100;
const ids = ['c1', 'c2', 'c3'];
const computeRequestDeadline = () => monotonicClock.now() + 30_000;

async function findFreePort() {
  const server = createServer().listen(0, '127.0.0.1');
  await new Promise(resolve => server.once('listening', resolve));
  const {port} = server.address();
  await new Promise(resolve => server.close(resolve));
  return port;
}

function writeSettings(folder, id, addresses) {
  const file = join(folder, `${id}.toml`);
  const members = ids.map(
    member => `{member = "${member}", address = "${addresses.get(member)}"}`,
  );
  writeFileSync(
    file,
    `[process]
id = "${id}"
role = "control"
site = "gilgit"
region = "north"
failure_domain = "a"
log_level = "error"
[leases]
target_lease_ms = ${6 * intervalMs}
renewal_interval_ms = ${intervalMs}
[control]
listen = "${addresses.get(id)}"
data = "${join(folder, id)}"
members = [${members.join(', ')}]
`,
  );
  return file;
}

function readCpuSeconds(pid) {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8')
    .split(') ')[1]
    .split(' ');
  return (Number(fields[11]) + Number(fields[12])) / clockTicksPerSecond;
}

function readResidentMb(pid) {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  return Number(/VmRSS:\s+(\d+)/.exec(status)[1]) / 1024;
}

async function findLeader(addresses) {
  for (;;) {
    for (const address of addresses.values()) {
      const connection = await dialPeer(address, {}, computeRequestDeadline());
      if (connection.isLeft()) continue;
      const peer = connection.extract();
      const status = (
        await peer.request('control.status', {}, computeRequestDeadline())
      ).extract();
      peer.close('asked');
      if (status.role === 'leader' && status.configVersion > 0) return address;
    }
    await sleep(100);
  }
}

function describeTarget(n) {
  return {
    target: `worker-${n}`,
    incarnation: 1,
    service: 'tally',
    address: `127.0.0.1:${10_000 + n}`,
    place: {
      site: 'gilgit',
      region: 'north',
      failureDomain: 'a',
      rack: `r${n % 40}`,
    },
    capacity: {kind: 'executor', slots: 8, maxConnections: 60},
    leaving: false,
  };
}

async function startAgent(leader, n) {
  const peer = (
    await dialPeer(leader, {}, computeRequestDeadline())
  ).unsafeCoerce();
  const target = describeTarget(n);
  const announcement = await peer.request(
    'control.announce',
    {target, configVersion: 1},
    computeRequestDeadline(),
  );
  announcement.unsafeCoerce();
  const since = 0;
  await peer.request(
    'control.watch',
    {since, topics: 'configuration'},
    computeRequestDeadline(),
  );
  return {peer, target, renewed: 0, refused: 0};
}

function startRenewals(agents) {
  return agents.map((agent, n) => {
    const {target, incarnation} = agent.target;
    const params = {target, incarnation, configVersion: 1};
    const renew = async () => {
      const reply = await agent.peer.request(
        'control.renewTarget',
        params,
        computeRequestDeadline(),
      );
      if (reply.extract()?.value?.kind === 'renewed') agent.renewed++;
      else agent.refused++;
    };
    let timer;
    const start = setTimeout(
      () => (timer = setInterval(renew, intervalMs)),
      (n * intervalMs) / agents.length,
    );
    return () => {
      clearTimeout(start);
      clearInterval(timer);
    };
  });
}

function countBytes(agents) {
  return agents.reduce(
    (sum, {peer}) => sum + peer.socket.bytesRead + peer.socket.bytesWritten,
    0,
  );
}

const folder = mkdtempSync(join(tmpdir(), 'measure-renewals-'));
const addresses = new Map();
for (const id of ids) addresses.set(id, `127.0.0.1:${await findFreePort()}`);
const children = ids.map(id =>
  spawn(
    process.execPath,
    [
      'build/packages/cli/src/main.js',
      'control',
      '--settings',
      writeSettings(folder, id, addresses),
    ],
    {stdio: 'inherit'},
  ),
);
const leader = await findLeader(addresses);
const agents = await Promise.all(
  Array.from({length: targets}, (_, n) => startAgent(leader, n)),
);
const stopFunctions = startRenewals(agents);
await sleep(2 * intervalMs);
const measure = () => ({
  at: monotonicClock.now(),
  cpu: children.map(({pid}) => readCpuSeconds(pid)),
  bytes: countBytes(agents),
  renewed: agents.reduce((sum, {renewed}) => sum + renewed, 0),
});
const before = measure();
await sleep(seconds * 1000);
const after = measure();
const elapsed = (after.at - before.at) / 1000;
const round = value => Math.round(value * 100) / 100;
process.stdout.write(
  JSON.stringify({
    targets,
    intervalMs,
    renewalsPerSecond: round((after.renewed - before.renewed) / elapsed),
    refused: agents.reduce((sum, {refused}) => sum + refused, 0),
    daemonBytesPerSecond: round(
      (after.bytes - before.bytes) / elapsed / targets,
    ),
    corePercent: Object.fromEntries(
      ids.map((id, i) => [
        addresses.get(id) === leader ? `${id} (leader)` : id,
        round((100 * (after.cpu[i] - before.cpu[i])) / elapsed),
      ]),
    ),
    residentMb: children.map(({pid}) => round(readResidentMb(pid))),
  }) + '\n',
);
for (const stop of stopFunctions) stop();
for (const {peer} of agents) peer.close('measured');
for (const child of children) child.kill('SIGTERM');
const codes = await Promise.all(
  children.map(child => new Promise(resolve => child.once('exit', resolve))),
);
rmSync(folder, {recursive: true});
process.exit(codes.every(code => code === 0) ? 0 : 1);
