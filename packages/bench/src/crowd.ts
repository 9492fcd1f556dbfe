import {writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {Child} from './child.js';
import type {CrowdFile} from './crowd-main.js';
import type {Site} from './site.js';

const program = fileURLToPath(new URL('./crowd-main.js', import.meta.url));
const processes = 4;
const slotsPerTarget = 8;
const failureDomains = 4;

/** Many agents of one service in a few processes, without back ends. */
export class Crowd implements AsyncDisposable {
  private constructor(private readonly children: readonly Child[]) {}

  /** Starts agents that announce themselves to a site's controls. */
  static async start(
    site: Site,
    service: string,
    count: number,
  ): Promise<Crowd> {
    const share = Math.ceil(count / processes);
    const children: Child[] = [];
    for (let first = 0; first < count; first += share) {
      const file: CrowdFile = {
        controls: site.controls,
        site: 'gilgit',
        region: 'gilgit-baltistan',
        service,
        first,
        count: Math.min(share, count - first),
        slots: slotsPerTarget,
        failureDomains,
      };
      const path = join(site.options.data, `crowd-${first}.json`);
      writeFileSync(path, JSON.stringify(file));
      const log = join(site.options.data, `crowd-${first}.log`);
      children.push(Child.start(process.execPath, [program, path], log));
    }
    await Promise.all(children.map(child => child.firstLine));
    return new Crowd(children);
  }

  get pids(): readonly number[] {
    return this.children.map(({pid}) => pid);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await Promise.all(this.children.map(child => child.stop()));
  }
}
