import type {Command} from 'commander';
import type {ChangeMembersParams} from '#protocol';
import {type ExitCode, exitCode} from '#telemetry';
import {
  addControlOptions,
  collectAddress,
  computeCommandDeadline,
  type Context,
  type ControlOptions,
  reportFailure,
  setAction,
} from './command.js';
import {printResult} from './console.js';
import {ControlClient} from './control-client.js';

/** Adds `members add-learner`, `members promote` and `members remove`. */
export function addMemberCommands(program: Command, context: Context): void {
  const group = program
    .command('members')
    .description('Change the replicas of the control group, one at a time');
  setAction(
    addControlOptions(
      group
        .command('add-learner <member> <address>')
        .description('Let a replica with an empty disk follow the log'),
    ),
    context,
    (options: ControlOptions, member, address) =>
      changeMembers(context, options, {
        change: 'add-learner',
        member,
        address: collectAddress(address)[0]!,
      }),
  );
  setAction(
    addControlOptions(
      group
        .command('promote <member>')
        .description('Make a learner that has caught up a voter'),
    ),
    context,
    (options: ControlOptions, member) =>
      changeMembers(context, options, {change: 'promote', member}),
  );
  setAction(
    addControlOptions(
      group.command('remove <member>').description('Take a replica out'),
    ),
    context,
    (options: ControlOptions, member) =>
      changeMembers(context, options, {change: 'remove', member}),
  );
}

async function changeMembers(
  {console}: Context,
  options: ControlOptions,
  params: ChangeMembersParams,
): Promise<ExitCode> {
  const reply = await new ControlClient(options.control).change(
    'control.changeMembers',
    params,
    computeCommandDeadline(options),
    'once',
  );
  return reply.caseOf<ExitCode>({
    Left: failure =>
      reportFailure(
        console,
        options,
        failure.kind === 'unanswered'
          ? {...failure, detail: `${failure.detail}; see "status"`}
          : failure,
      ),
    Right: () => {
      printResult(
        console,
        options,
        {done: true, ...params},
        ({change, member}) => `done: ${change} ${member}`,
      );
      return exitCode.ok;
    },
  });
}
