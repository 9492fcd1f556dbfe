import {readFileSync} from 'node:fs';
import {Agent, type RunOutcome, type RunRequest, type Target} from '#agent';
import {type Address, monotonicClock, type VersionedSource} from '#model';
import {parseConfiguration} from '#settings';
import {openLog, noopMetrics} from '#telemetry';

/** Contents of the JSON file named on the command line. */
export interface AgentFleetFile {
  readonly controls: readonly Address[];
  readonly site: string;
  readonly region: string;
  readonly service: string;
  /** Index of the first target; target names must be unique across processes. */
  readonly first: number;
  readonly count: number;
  readonly slots: number;
  readonly failureDomains: number;
}

/** A target without a back end; a task takes the time that its payload states. */
class SimulatedTarget implements Target {
  async run({payload}: RunRequest): Promise<RunOutcome> {
    const {sleepMs = 0, echo} = payload as {sleepMs?: number; echo?: unknown};
    await new Promise(resolve => setTimeout(resolve, sleepMs));
    return {kind: 'succeeded', result: {echo}, bytes: 64};
  }

  async checkHealth(): Promise<boolean> {
    return true;
  }

  async [Symbol.asyncDispose](): Promise<void> {}
}

const path = process.argv[2];
if (path === undefined) {
  console.error('usage: node agent-fleet-main.js FILE');
  process.exit(2);
}
const file = JSON.parse(readFileSync(path, 'utf8')) as AgentFleetFile;
const log = openLog('warn', 'agent', `crowd-${file.first}`);

async function startAgent(index: number): Promise<Agent> {
  const rack = Math.floor(index / 40);
  const started = await Agent.start({
    settings: {
      id: `${file.service}-crowd-${index}`,
      place: {
        site: file.site,
        region: file.region,
        failureDomain: `domain-${rack % file.failureDomains}`,
        rack: `rack-${rack}`,
      },
      controls: file.controls,
      logLevel: 'warn',
      leases: {
        entryLeaseMs: 3000,
        targetLeaseMs: 6000,
        renewalIntervalMs: 1000,
        clockMarginMs: 250,
      },
      role: {
        kind: 'agent',
        listen: '127.0.0.1:0',
        service: file.service,
        capacity: {
          kind: 'executor',
          slots: file.slots,
          maxConnections: file.slots,
        },
        url: 'http://127.0.0.1:1',
        drainMs: 1000,
      },
    },
    target: new SimulatedTarget(),
    runtime: {log, metrics: noopMetrics, clock: monotonicClock},
    incarnation: Date.now(),
    readConfiguration: ({source}: VersionedSource) =>
      parseConfiguration(source, file.site).mapLeft(String),
  });
  return started.unsafeCoerce();
}

const agents: Agent[] = [];
for (let i = 0; i < file.count; i++) {
  agents.push(await startAgent(file.first + i));
}
console.log(JSON.stringify({agents: agents.length, pid: process.pid}));
process.once('SIGTERM', () => process.exit());
