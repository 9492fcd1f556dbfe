import type {Address} from '#model';
import type {SettingsError} from './error.js';
import {dialAddresses, isReachable} from './kind.js';
import type {settingsShape} from './layout.js';
import type {Role} from './process.js';
import type {ValueOf} from './shape.js';
import {describeValue} from './value.js';

/** Every key of a settings file, checked one by one and completed. */
export type WholeSettings = ValueOf<typeof settingsShape>;

/** What must hold of a key in view of the others. */
interface Rule {
  readonly key: string;
  readonly expected: string;
  readonly found: unknown;
  readonly holds: boolean;
}

/** Finds settings that are valid one by one but not together, for a process of a role. */
export function findConflicts(
  whole: WholeSettings,
  role: Role['kind'],
  origin: string,
): readonly SettingsError[] {
  return [...listCommonRules(whole, role), ...listRoleRules(whole, role)]
    .filter(rule => !rule.holds)
    .map(({key, expected, found}) => ({
      kind: 'wrong-value',
      origin,
      key,
      expected,
      found: found === undefined ? 'nothing' : describeValue(found),
    }));
}

function listCommonRules(
  {process, leases}: WholeSettings,
  role: Role['kind'],
): readonly Rule[] {
  const shortestMs = Math.min(leases.entry_lease_ms, leases.target_lease_ms);
  const maxRenewalMs = Math.floor((shortestMs - leases.clock_margin_ms) / 2);
  return [
    {
      key: 'process.role',
      expected: `"${role}", the role that the command starts`,
      found: process.role,
      holds: (process.role ?? role) === role,
    },
    {
      key: 'leases.clock_margin_ms',
      expected: `less than half of the shortest lease of ${shortestMs} ms`,
      found: leases.clock_margin_ms,
      holds: leases.clock_margin_ms < shortestMs / 2,
    },
    {
      key: 'leases.renewal_interval_ms',
      expected: `at most ${maxRenewalMs}, so that two renewals fit the shortest lease less clock_margin_ms`,
      found: leases.renewal_interval_ms,
      holds: leases.renewal_interval_ms <= maxRenewalMs,
    },
  ];
}

function listRoleRules(
  whole: WholeSettings,
  role: Role['kind'],
): readonly Rule[] {
  const {process, agent, control} = whole;
  const knowsControls: Rule = {
    key: 'process.controls',
    expected: dialAddresses.expected,
    found: process.controls,
    holds: process.controls !== undefined,
  };
  switch (role) {
    case 'entry':
      return [knowsControls, requireReachable('entry', whole.entry)];
    case 'agent':
      return [
        knowsControls,
        requireReachable('agent', agent),
        {
          key: 'agent',
          expected: 'exactly one of the tables executor and worker',
          found: agent,
          holds:
            (agent?.executor === undefined) !== (agent?.worker === undefined),
        },
      ];
    case 'control':
      return control?.join ? [knowsControls] : [requireOwnMember(whole)];
  }
}

/** Others are told the address, so it must be one that they can dial. */
function requireReachable(
  table: string,
  stated: {readonly listen: Address; readonly advertise?: Address} | undefined,
): Rule {
  return {
    key: `${table}.listen`,
    expected: `an address that others can dial, or ${table}.advertise beside it`,
    found: stated?.listen,
    holds:
      stated !== undefined &&
      (stated.advertise !== undefined || isReachable(stated.listen)),
  };
}

function requireOwnMember({process, control}: WholeSettings): Rule {
  const members = control?.members ?? [];
  return {
    key: 'control.members',
    expected: `a member named "${process.id}", which is this process, or join = true`,
    found: control?.members,
    holds: members.some(({member}) => member === process.id),
  };
}
