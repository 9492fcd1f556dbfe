import type {Command} from 'commander';
import type {ChangeMembersParams} from '#protocol';
import {type ExitCode, exitCode} from '#telemetry';
import {
  addControlOptions,
  collectAddress,
  computeCommandDeadline,
  type CommandContext,
  type ControlOptions,
  reportFailure,
  setAction,
} from './command.js';
import {printResult} from './console.js';
import {ControlClient, requestOnce} from './control-client.js';
import {renderMembers} from './member-table.js';

/** Adds `members list`, `members add-learner`, `members promote` and `members remove`. */
export function addMemberCommands(
  program: Command,
  context: CommandContext,
): void {
  const group = program
    .command('members')
    .description('Change the members of the control group, one at a time');
  setAction(
    addControlOptions(
      group
        .command('list')
        .description(
          'List voters and learners, who is silent, and what a repair waits for',
        ),
    ),
    context,
    (options: ControlOptions) => listMembers(context, options),
  );
  setAction(
    addControlOptions(
      group
        .command('add-learner <member> <address>')
        .description('Add a replica with an empty disk as a learner'),
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
        .description('Promote a caught-up learner to voter'),
    ),
    context,
    (options: ControlOptions, member) =>
      changeMembers(context, options, {change: 'promote', member}),
  );
  setAction(
    addControlOptions(
      group.command('remove <member>').description('Remove a replica'),
    ),
    context,
    (options: ControlOptions, member) =>
      changeMembers(context, options, {change: 'remove', member}),
  );
}

/** Shows the members as the leader sees them, or as another replica does while none leads. */
async function listMembers(
  {console}: CommandContext,
  options: ControlOptions,
): Promise<ExitCode> {
  const deadline = computeCommandDeadline(options);
  const first = await new ControlClient(options.control).readStatus(deadline);
  const {leader} = first.toMaybe().extract() ?? {};
  const atLeader =
    leader === undefined
      ? first
      : await requestOnce(leader, 'control.status', {}, deadline);
  return atLeader.alt(first).caseOf<ExitCode>({
    Left: failure => reportFailure(console, options, failure),
    Right: status => {
      const {member, role, members, repair} = status;
      printResult(console, options, {member, role, members, repair}, () =>
        [
          renderMembers(status),
          ...(role === 'leader' ? [] : ['no leader answers']),
          ...(repair === undefined ? [] : [`repair: ${repair}`]),
        ].join('\n'),
      );
      return exitCode.ok;
    },
  });
}

async function changeMembers(
  {console}: CommandContext,
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
