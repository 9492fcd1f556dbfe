import {appendFileSync} from 'node:fs';
import {newId, Site, sleep} from '../lib-3/site.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
const record = new URL('record.txt', import.meta.url).pathname;
/** The sheets' `resend_ms`. */
const resendMs = 1300;
const deadlineMs = 8000;
const workMs = 2500;
const agents = 5;
const rounds = Number(process.env.ROUNDS ?? 10);
const jobsPerRound = 14;
const jobTasks = 16;
/** Share of the orders that get no answer and are carried out late: the default of `fleetbench kinds`. */
const lateShare = 0.5;
const maxSends = 4;

/** A client's job: sent again after no response, a broken connection, 502 or 504, at any edge. */
async function runClient(site, index) {
  const id = newId();
  const body = {
    spec: JSON.stringify({cpu: 200, mem_mb: 64, workMs}),
    best_effort: true,
    steps: [{count: jobTasks, cpu: 200, mem_mb: 64, estimate_ms: workMs}],
  };
  for (let i = 0; i < maxSends; i++) {
    const {status} = await site.send('POST', id, {edge: index + i, body, deadlineMs});
    if (status !== undefined && status !== 502 && status !== 504) return status;
    await sleep(resendMs);
  }
  return 'given up';
}

/** Finds the runs of a task that began while another run of it was at work on another executor. */
function findTwice(events) {
  const present = new Map();
  const found = [];
  for (const {what, task, run, executor, at, isLate = false} of events) {
    if (task === undefined) continue;
    const runs = present.get(task) ?? [];
    if (what === 'start') {
      for (const other of runs) {
        if (other.executor !== executor) found.push({task, first: other, second: {run, executor, at, isLate}});
      }
      present.set(task, [...runs, {run, executor, at, isLate}]);
    } else if (['done', 'failed', 'stopped', 'lapsed'].includes(what)) {
      const ended = runs.find(each => each.run === run && each.executor === executor);
      if (ended !== undefined) ended.endedAt = at;
      present.set(task, runs.filter(each => each !== ended));
    }
  }
  return found;
}

async function main() {
  const site = await Site.start({record, agents, edges: 2, describeTask: (_, spec) => JSON.parse(spec)});
  const say = text => {
    console.log(text);
    appendFileSync(record, `# ${text}\n`);
  };
  try {
    if (!(await site.replaceConfiguration(site.describeConfiguration(1)))) return 2;
    if (!(await site.waitUntilReady())) return 2;
    site.endFirstStart();
    await sleep(3000);
    const pending = [];
    for (let round = 0; round < rounds; round++) {
      for (let i = 0; i < jobsPerRound; i++) pending.push(runClient(site, i));
      await sleep(900);
      if (hasTrouble) {
        for (const each of site.executors) each.lateShare = lateShare;
        const {host} = site.list('agent')[round % agents];
        site.record({at: Date.now(), what: 'an agent is killed', host});
        site.find(host).signal('SIGKILL');
      }
      await sleep(2600);
      for (const each of site.executors) each.lateShare = 0;
      await sleep(1500);
    }
    const counts = {};
    for (const each of await Promise.all(pending)) counts[each] = (counts[each] ?? 0) + 1;
    say(`jobs by their last answer: ${JSON.stringify(counts)}`);
    const all = findTwice(site.events);
    const twice = all.filter(({first, second}) => !first.isLate && !second.isLate);
    for (const {task, first, second} of twice) {
      const endedAt = first.endedAt ?? Date.now();
      say(
        `task ${task}: run ${first.run} on ${first.executor} was at work until ${endedAt - second.at} ms after run ${second.run} had begun on ${second.executor}`,
      );
    }
    say(`two runs at the same time: ${twice.length} tasks; with starts that were carried out late: ${all.length - twice.length} more, not counted`);
    if (Object.keys(counts).length === 0) return 2;
    say(twice.length > 0 ? 'TWICE is broken' : 'TWICE holds');
    return twice.length > 0 ? 1 : 0;
  } finally {
    await site.stop();
  }
}

process.exit(
  await main().catch(error => {
    console.error(error);
    return 2;
  }),
);
