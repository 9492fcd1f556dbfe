import type {Address} from '#model';
import type {SettingsError} from './error.js';
import {dialableAddresses, hasSpecificHost} from './value-types.js';
import type {settingsShape} from './layout.js';
import type {Role} from './process.js';
import type {ValueOf} from './shape.js';
import {describeValue} from './value.js';

/** All settings, each key checked on its own and completed with defaults. */
export type CompletedSettings = ValueOf<typeof settingsShape>;

/** A constraint on a key that depends on other keys. */
interface Rule {
  readonly key: string;
  readonly expected: string;
  readonly found: unknown;
  readonly holds: boolean;
}

/** Finds settings that are valid on their own but not together, for a process of the given role. */
export function findConflicts(
  settings: CompletedSettings,
  role: Role['kind'],
  origin: string,
): readonly SettingsError[] {
  return [...listCommonRules(settings, role), ...listRoleRules(settings, role)]
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
  {process, leases}: CompletedSettings,
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
  settings: CompletedSettings,
  role: Role['kind'],
): readonly Rule[] {
  const {process, agent, control} = settings;
  const controlsRule: Rule = {
    key: 'process.controls',
    expected: dialableAddresses.expected,
    found: process.controls,
    holds: process.controls !== undefined,
  };
  switch (role) {
    case 'entry':
      return [controlsRule, requireReachable('entry', settings.entry)];
    case 'agent':
      return [
        controlsRule,
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
      return [
        control?.join ? controlsRule : requireOwnMember(settings),
        requireOddVoters(settings),
      ];
  }
}

/** The address is announced to other processes, so they must be able to connect to it. */
function requireReachable(
  table: string,
  roleTable:
    {readonly listen: Address; readonly advertise?: Address} | undefined,
): Rule {
  return {
    key: `${table}.listen`,
    expected: `an address that others can dial, or ${table}.advertise beside it`,
    found: roleTable?.listen,
    holds:
      roleTable !== undefined &&
      (roleTable.advertise !== undefined || hasSpecificHost(roleTable.listen)),
  };
}

function requireOwnMember({process, control}: CompletedSettings): Rule {
  const members = control?.members ?? [];
  return {
    key: 'control.members',
    expected: `a member named "${process.id}", which is this process, or join = true`,
    found: control?.members,
    holds: members.some(({member}) => member === process.id),
  };
}

function requireOddVoters({control}: CompletedSettings): Rule {
  const voters = control?.voters ?? 1;
  return {
    key: 'control.voters',
    expected: 'an odd number, as an even one bears no more losses',
    found: voters,
    holds: voters % 2 === 1,
  };
}
