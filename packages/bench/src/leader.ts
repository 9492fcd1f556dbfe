import {ControlClient} from '#membership';
import {monotonicClock} from '#model';
import type {Member} from './member.js';
import type {Site} from './site.js';

const requestTimeoutMs = 30_000;

/** Finds the control that is the leader; the first control when no leader is known. */
export async function findLeader(site: Site): Promise<Member> {
  await using client = new ControlClient({controls: site.controls});
  const status = await client.request(
    'control.status',
    {},
    monotonicClock.now() + requestTimeoutMs,
  );
  const {leader} = status.unsafeCoerce();
  const controls = site.list('control');
  return controls.find(({plan}) => plan.advertise === leader) ?? controls[0]!;
}
