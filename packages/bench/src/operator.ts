import {spawn} from 'node:child_process';
import {writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {stringify} from 'smol-toml';
import {exitCode} from '#telemetry';
import type {Site} from './site.js';
import {waitUntil} from './wait.js';

/** The exit code and standard output of an operator's command. */
export interface CommandResult {
  readonly code: number;
  readonly out: string;
}

/** Runs a command of the system's binary and waits for it to exit. */
export function runCommand(
  site: Site,
  args: readonly string[],
): Promise<CommandResult> {
  return new Promise((resolve, reject) => {
    const child = spawn(site.options.binary, args, {
      stdio: ['ignore', 'pipe', 'ignore'],
    });
    let out = '';
    child.stdout.on('data', chunk => (out += String(chunk)));
    child.once('error', reject);
    child.once('close', code => resolve({code: code ?? -1, out}));
  });
}

/** A configuration change that the control replicas accepted. */
export interface AcceptedChange {
  readonly changeId: string;
  readonly version: number;
}

export interface RaceResult {
  readonly expectedVersion: number;
  readonly accepted: readonly AcceptedChange[];
  /** Operators whose change was rejected as a conflict. */
  readonly conflicts: number;
  /** Operators that did not learn the outcome. */
  readonly unanswered: number;
}

const raceLimitMs = 4000;

/** Reads the configuration version in force from the leader; undefined when that fails. */
export async function readVersion(site: Site): Promise<number | undefined> {
  const args = ['config', 'show', '--json', '--timeout-ms', '3000'];
  const {code, out} = await runCommand(site, [
    ...args,
    ...listControlArgs(site),
  ]);
  if (code !== exitCode.ok) return undefined;
  return (JSON.parse(out) as {readonly version: number}).version;
}

/**
 * Applies different changes concurrently, all based on the version in force; undefined when
 * that version can't be read.
 */
export async function raceChanges(
  site: Site,
  operators: number,
  label: string,
): Promise<RaceResult | undefined> {
  const expectedVersion = await readVersion(site);
  if (expectedVersion === undefined) return undefined;
  const results = await Promise.all(
    Array.from({length: operators}, async (_, i) => {
      const changeId = `${label}-${i}`;
      const result = await applyChange(site, changeId, expectedVersion, i);
      return {changeId, ...result};
    }),
  );
  const count = (code: number) =>
    results.filter(result => result.code === code).length;
  return {
    expectedVersion,
    accepted: results
      .filter(({code}) => code === exitCode.ok)
      .map(({changeId, out}) => ({
        changeId,
        version: (JSON.parse(out) as AcceptedChange).version,
      })),
    conflicts: count(exitCode.conflict),
    unanswered: operators - count(exitCode.ok) - count(exitCode.conflict),
  };
}

async function applyChange(
  site: Site,
  changeId: string,
  expectedVersion: number,
  seed: number,
): Promise<CommandResult> {
  const {configuration, data} = site.options;
  const base = join(data, `${changeId}.toml`);
  const limits = {
    ...configuration.limits,
    max_tasks_per_job: 500 + seed,
  };
  writeFileSync(base, stringify({...configuration, limits}));
  return runCommand(site, [
    'config',
    'apply',
    '--json',
    '--base',
    base,
    '--expect',
    String(expectedVersion),
    '--change-id',
    changeId,
    '--author',
    changeId,
    '--timeout-ms',
    String(raceLimitMs),
    ...listControlArgs(site),
  ]);
}

/** Reads the accepted changes from the leader; undefined when that fails. */
export async function readHistory(
  site: Site,
): Promise<readonly AcceptedChange[] | undefined> {
  const {code, out} = await runCommand(site, [
    'config',
    'history',
    '--json',
    ...listControlArgs(site),
  ]);
  return code === exitCode.ok ? JSON.parse(out) : undefined;
}

/**
 * Lists the faults of races: several changes accepted on one version, or an accepted change
 * that is missing from the history or has another version there.
 */
export function checkRaces(
  races: readonly RaceResult[],
  history: readonly AcceptedChange[],
): readonly string[] {
  const faults: string[] = [];
  const versions = new Map(
    history.map(({changeId, version}) => [changeId, version]),
  );
  for (const {expectedVersion, accepted} of races) {
    if (accepted.length > 1) {
      faults.push(
        `${accepted.length} changes were accepted on version ${expectedVersion}`,
      );
    }
    for (const {changeId, version} of accepted) {
      if (versions.get(changeId) === version) continue;
      faults.push(
        `change ${changeId} was accepted as version ${version} but its version in the history is ${versions.get(changeId)}`,
      );
    }
  }
  return faults;
}

function listControlArgs(site: Site): readonly string[] {
  return site.controls.flatMap(address => ['--control', address]);
}

/**
 * Lists the running controls only: a membership change is sent only once, and an attempt at the
 * address of a dead host would be wasted.
 */
function listRunningControlArgs(site: Site): readonly string[] {
  return site
    .list('control')
    .filter(({child}) => child.isRunning)
    .flatMap(({plan}) => ['--control', plan.advertise]);
}

/** Replaces a permanently lost control replica by a new one with an empty disk. */
export async function replaceControl(
  site: Site,
  lost: string,
  name: string,
): Promise<void> {
  const {plan} = await site.startLearner(name);
  const change = async (...args: readonly string[]) => {
    const controls = listRunningControlArgs(site);
    const {code} = await runCommand(site, ['members', ...args, ...controls]);
    return code === exitCode.ok;
  };
  const limitMs = 30_000;
  await waitUntil(`${name} is a learner`, limitMs, () =>
    change('add-learner', name, plan.advertise),
  );
  await waitUntil(`${name} is a voter`, limitMs, () => change('promote', name));
  await waitUntil(`${lost} is removed`, limitMs, () => change('remove', lost));
}
