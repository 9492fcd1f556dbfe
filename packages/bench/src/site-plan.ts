import {join} from 'node:path';
import type {MemberPlan, MemberRole} from './member.js';
import type {PortRange} from './ports.js';
import type {SiteOptions} from './site-options.js';

/** Assigns names, addresses and files to every process of a site. */
export async function planMembers(
  options: SiteOptions,
  ports: PortRange,
): Promise<readonly MemberPlan[]> {
  const plans: MemberPlan[] = [];
  const add = async (role: MemberRole, name: string) => {
    plans.push(await planMember(options, ports, role, name));
  };
  for (let i = 0; i < options.controls; i++) {
    await add('control', `control-${i}`);
  }
  for (let i = 0; i < options.entries; i++) await add('entry', `entry-${i}`);
  for (const [i, target] of options.targets.entries()) {
    await add('agent', `${target.service}-${i}`);
  }
  return plans;
}

/** Plans one process; `joins` makes a control replica start as a learner. */
export async function planMember(
  options: SiteOptions,
  ports: PortRange,
  role: MemberRole,
  name: string,
  joins = false,
): Promise<MemberPlan> {
  const listen = `127.0.0.1:${await ports.take()}`;
  const advertise = options.proxied
    ? `127.0.0.1:${await ports.take()}`
    : listen;
  return {
    name,
    role,
    listen,
    advertise,
    joins,
    settings: join(options.data, `${name}.toml`),
    log: join(options.data, `${name}.log`),
  };
}

export function filterRole(
  plans: readonly MemberPlan[],
  role: MemberRole,
): readonly MemberPlan[] {
  return plans.filter(plan => plan.role === role);
}
