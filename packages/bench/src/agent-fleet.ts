import {writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {Child} from './child.js';
import type {AgentFleetFile} from './agent-fleet-main.js';
import type {Site} from './site.js';

const program = fileURLToPath(
  new URL('./agent-fleet-main.js', import.meta.url),
);
const processCount = 4;
const slotsPerTarget = 8;
const failureDomainCount = 4;

/** Many agents of one service, hosted by a few processes; their targets have no back ends. */
export class AgentFleet implements AsyncDisposable {
  private constructor(private readonly children: readonly Child[]) {}

  /** Starts `count` agents that announce their targets to a site's controls. */
  static async start(
    site: Site,
    service: string,
    count: number,
  ): Promise<AgentFleet> {
    const agentsPerProcess = Math.ceil(count / processCount);
    const children: Child[] = [];
    for (let first = 0; first < count; first += agentsPerProcess) {
      const file: AgentFleetFile = {
        controls: site.controls,
        site: 'gilgit',
        region: 'gilgit-baltistan',
        service,
        first,
        count: Math.min(agentsPerProcess, count - first),
        slots: slotsPerTarget,
        failureDomains: failureDomainCount,
      };
      const path = join(site.options.data, `crowd-${first}.json`);
      writeFileSync(path, JSON.stringify(file));
      const log = join(site.options.data, `crowd-${first}.log`);
      children.push(Child.start(process.execPath, [program, path], log));
    }
    await Promise.all(children.map(child => child.firstLine));
    return new AgentFleet(children);
  }

  get pids(): readonly number[] {
    return this.children.map(({pid}) => pid);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await Promise.all(this.children.map(child => child.stop()));
  }
}
