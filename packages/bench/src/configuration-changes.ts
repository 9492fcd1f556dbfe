import {stringify} from 'smol-toml';
import {ControlClient} from '#membership';
import {monotonicClock} from '#model';
import type {Site} from './site.js';

const requestTimeoutMs = 30_000;
const nonexistentEpoch = 1_000_000_000;
const concurrency = 64;

/** Applies `count` different configuration changes in sequence; returns the version of the last one. */
export async function applyChanges(
  site: Site,
  label: string,
  count: number,
): Promise<number> {
  await using client = new ControlClient({controls: site.controls});
  const status = await client.request(
    'control.configStatus',
    {},
    monotonicClock.now() + requestTimeoutMs,
  );
  let {version} = status.unsafeCoerce().current;
  for (let i = 0; i < count; i++) {
    const changeId = `${label}-${i}`;
    const response = await client.request(
      'control.applyConfig',
      {
        changeId,
        expectedVersion: version,
        author: label,
        source: {base: renderBase(site, version), overlays: {}},
      },
      monotonicClock.now() + requestTimeoutMs,
    );
    const result = response.unsafeCoerce();
    if (result.kind !== 'accepted') {
      throw new Error(`${changeId}: ${JSON.stringify(result)}`);
    }
    version = result.version;
  }
  return version;
}

/** Commits log entries that change no state, so that the log outgrows the part that replicas retain. */
export async function fillLog(site: Site, entries: number): Promise<void> {
  await using client = new ControlClient({controls: site.controls});
  let remaining = entries;
  const sendRequests = async () => {
    while (remaining-- > 0) {
      const response = await client.request(
        'control.closeEntry',
        {entry: 'nobody', epoch: nonexistentEpoch},
        monotonicClock.now() + requestTimeoutMs,
      );
      response.unsafeCoerce();
    }
  };
  await Promise.all(Array.from({length: concurrency}, sendRequests));
}

function renderBase({options}: Site, version: number): string {
  const {configuration} = options;
  const limits = {...configuration.limits, max_tasks_per_job: 500 + version};
  return stringify({...configuration, limits});
}
