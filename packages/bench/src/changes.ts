import {stringify} from 'smol-toml';
import {ControlClient} from '#membership';
import {monotonicClock} from '#model';
import type {Site} from './site.js';

const changeLimitMs = 30_000;
const noSuchEpoch = 1_000_000_000;
const callers = 64;

/** Applies different changes one after another; returns the version of the last one. */
export async function applyChanges(
  site: Site,
  label: string,
  count: number,
): Promise<number> {
  await using client = new ControlClient({controls: site.controls});
  const status = await client.request(
    'control.configStatus',
    {},
    monotonicClock.now() + changeLimitMs,
  );
  let {version} = status.unsafeCoerce().current;
  for (let i = 0; i < count; i++) {
    const changeId = `${label}-${i}`;
    const answer = await client.request(
      'control.applyConfig',
      {
        changeId,
        expectedVersion: version,
        author: label,
        source: {base: writeBase(site, version), overlays: {}},
      },
      monotonicClock.now() + changeLimitMs,
    );
    const result = answer.unsafeCoerce();
    if (result.kind !== 'accepted') {
      throw new Error(`${changeId}: ${JSON.stringify(result)}`);
    }
    version = result.version;
  }
  return version;
}

/** Commits log entries that change nothing, so that the log outgrows what a replica keeps of it. */
export async function fillLog(site: Site, entries: number): Promise<void> {
  await using client = new ControlClient({controls: site.controls});
  let left = entries;
  const runCaller = async () => {
    while (left-- > 0) {
      const closed = await client.request(
        'control.closeEntry',
        {entry: 'nobody', epoch: noSuchEpoch},
        monotonicClock.now() + changeLimitMs,
      );
      closed.unsafeCoerce();
    }
  };
  await Promise.all(Array.from({length: callers}, runCaller));
}

function writeBase({options}: Site, version: number): string {
  const {configuration} = options;
  const limits = {...configuration.limits, max_tasks_per_job: 500 + version};
  return stringify({...configuration, limits});
}
