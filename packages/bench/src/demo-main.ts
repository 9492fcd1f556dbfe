import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {endOnSignals} from './child.js';
import {countOutcomes, type OutcomeCounts, hasNoViolations} from './check.js';
import type {JobRecord} from './caller.js';
import {readJournal} from './journal.js';
import {measureResponse, summarizeTimes} from './latency.js';
import {type LoadOptions, planLoad} from './load.js';
import {runLoad} from './run-load.js';
import {Site} from './site.js';
import {describeSite} from './site-options.js';
import {formatTable} from './table.js';

const load: LoadOptions = {
  seed: 1,
  jobs: 60,
  arrivals: {kind: 'poisson', jobsPerSecond: 20},
  services: ['tally', 'renewal'],
  teams: ['herd-registry', 'licensing'],
  minTasks: 1,
  maxTasks: 12,
  minTaskMs: 10,
  maxTaskMs: 60,
  deadlineMs: 10_000,
  unrepeatableShare: 0.2,
  failingShare: 0.05,
  declaredErrorFactor: 2,
};

/** Runs the load once on a demonstration site and counts the outcomes. */
async function runDemo(data: string): Promise<OutcomeCounts> {
  await using site = await Site.start(describeSite(data));
  await site.waitUntilReady();
  const {pids} = site.describe();
  console.log(
    `${pids.control.length} controls, ${pids.entry.length} entries and ${pids.agent.length} agents are ready at ${site.entryUrls.join(' and ')}`,
  );
  const records = await runLoad(planLoad(load), {
    entries: site.entryUrls,
    seed: load.seed,
    arrivals: load.arrivals,
    retryPolicy: {maxAttempts: 5, maxPauseMs: 1000},
    duplicateShare: 0.2,
  });
  printAnswers(records);
  printTimes(records);
  return countOutcomes(readJournal(site.journal), records);
}

const maxShownAnswers = 5;

function printAnswers(records: readonly JobRecord[]): void {
  console.log('\nSome answers:');
  for (const {plan, attempts} of records.slice(0, maxShownAnswers)) {
    const {outcome} = attempts.at(-1)!;
    console.log(
      `  ${plan.service} ${plan.key} of ${plan.tasks.length} tasks: ${JSON.stringify(outcome).slice(0, 100)}`,
    );
  }
}

function printTimes(records: readonly JobRecord[]): void {
  const rows = load.services.map(service => {
    const times = records
      .filter(({plan}) => plan.service === service)
      .map(measureResponse)
      .filter(ms => ms !== undefined);
    const {count, p50Ms, p90Ms, p99Ms, maxMs} = summarizeTimes(times);
    return [service, count, p50Ms, p90Ms, p99Ms, maxMs];
  });
  const heading = ['service', 'jobs', 'p50 ms', 'p90 ms', 'p99 ms', 'max ms'];
  console.log('\nResponse times of complete jobs:');
  console.log(formatTable([heading, ...rows]));
}

endOnSignals();
const data = mkdtempSync(join(tmpdir(), 'wasabiring-demo-'));
const counts = await runDemo(data);
const {violations, ...numbers} = counts;
console.log(`\n${JSON.stringify(numbers)}`);
for (const violation of violations) console.log(violation);
const failing = planLoad(load).filter(({tasks}) =>
  tasks.some(({payload}) => payload.fail),
).length;
const lost = counts.jobs - counts.complete - failing;
if (!hasNoViolations(counts) || lost !== 0 || counts.failed !== failing) {
  console.log(`the demonstration failed; its logs are in ${data}`);
  process.exit(1);
}
console.log(
  `every job was answered: ${counts.complete} complete, ${failing} failed as their payload asks`,
);
rmSync(data, {recursive: true});
process.exit();
