import type {Location, TargetInfo} from '#model';
import type {Admission, ApplyConfigParams} from '#protocol';
import {
  applyCommand,
  type Command,
  type CommandResult,
  type ControlState,
  createState,
} from '#membership';

export const place = (site = 'gilgit', region = 'north'): Location => ({
  site,
  region,
  failureDomain: 'a',
  rack: 'r1',
});

export const id = (n: number) => n.toString(16).padStart(32, '0');

export const admission = (
  n: number,
  epoch: number,
  keepMs = 10_000,
): Admission => ({
  job: id(n),
  digest: id(n),
  epoch,
  tasks: 1,
  unrepeatable: false,
  ticket: 0,
  startMs: 30_000,
  keepMs,
});

export const target = (name: string, incarnation = 1): TargetInfo => ({
  target: name,
  incarnation,
  service: 'tally',
  address: '127.0.0.1:9',
  place: place(),
  capacity: {kind: 'executor', slots: 8, maxConnections: 60},
  leaving: false,
});

export const change = (
  changeId: string,
  expectedVersion: number,
): ApplyConfigParams => ({
  changeId,
  expectedVersion,
  author: `author of ${changeId}`,
  source: {base: changeId, overlays: {}},
});

export const open = (entry: string, nonce = entry, site?: string): Command => ({
  kind: 'open-entry',
  time: 0,
  entry,
  nonce,
  address: `${entry}:1`,
  place: place(site),
});

/** Applies commands to a state at consecutive log indexes. */
export class Log {
  constructor(
    readonly state: ControlState = createState(),
    private index = 0,
  ) {}

  run(command: Command): CommandResult {
    return applyCommand(this.state, command, ++this.index).result;
  }

  openEntry(entry: string, nonce?: string, site?: string): number {
    const result = this.run(open(entry, nonce, site));
    if (result.kind !== 'opened') throw new Error(result.kind);
    return result.epoch;
  }

  applyConfig(changeId: string, expectedVersion: number) {
    const command = change(changeId, expectedVersion);
    const result = this.run({kind: 'configure', time: 0, change: command});
    if (result.kind !== 'configured') throw new Error(result.kind);
    return result.result;
  }

  admit(admissions: readonly Admission[], time = 0) {
    const result = this.run({
      kind: 'admit',
      time,
      wallMs: time,
      admissions,
    });
    if (result.kind !== 'admitted') throw new Error(result.kind);
    return result.results;
  }
}
