import {randomUUID} from 'node:crypto';
import type {Command} from 'commander';
import {failUnreachable} from '#model';
import type {EvacuationStatus} from '#protocol';
import {type ExitCode, exitCode} from '#telemetry';
import {
  addControlOptions,
  computeCommandDeadline,
  type CommandContext,
  type ControlOptions,
  reportFailure,
  setAction,
} from './command.js';
import {printResult} from './console.js';
import {ControlClient} from './control-client.js';
import {renderTable} from './table.js';

interface OrderOptions extends ControlOptions {
  readonly changeId?: string;
}

/** Adds `domain list`, `domain evacuate` and `domain restore`. */
export function addDomainCommands(
  program: Command,
  context: CommandContext,
): void {
  const group = program
    .command('domain')
    .description('Take a failure domain out of service, and take it back');
  setAction(
    addControlOptions(
      group
        .command('list')
        .description(
          'List the failure domains, what is in them and which are evacuated',
        ),
    ),
    context,
    (options: ControlOptions) => listDomains(context, options),
  );
  addOrder(
    group
      .command('evacuate <domain>')
      .description('Start no more tasks in a failure domain'),
    context,
    true,
  );
  addOrder(
    group
      .command('restore <domain>')
      .description('Start tasks in a failure domain again'),
    context,
    false,
  );
}

function addOrder(
  command: Command,
  context: CommandContext,
  evacuated: boolean,
): void {
  command.option(
    '--change-id <id>',
    'repeats an earlier order whose answer was lost',
  );
  setAction(
    addControlOptions(command),
    context,
    (options: OrderOptions, domain) =>
      setEvacuation(context, options, domain, evacuated),
  );
}

async function listDomains(
  {console}: CommandContext,
  options: ControlOptions,
): Promise<ExitCode> {
  const reply = await new ControlClient(options.control).read(
    'control.readEvacuations',
    {},
    computeCommandDeadline(options),
  );
  return reply.caseOf<ExitCode>({
    Left: failure => reportFailure(console, options, failure),
    Right: status => {
      printResult(console, options, status, renderDomains);
      return exitCode.ok;
    },
  });
}

function renderDomains({version, domains}: EvacuationStatus): string {
  const rows = domains.map(each => [
    each.domain,
    each.evacuated ? 'evacuated' : 'in service',
    each.targets,
    each.entries,
  ]);
  return [
    `changes so far: ${version}`,
    renderTable(['DOMAIN', 'STATE', 'TARGETS', 'ENTRIES'], rows),
  ].join('\n');
}

/** Sends an order until it is answered or the deadline passes; all attempts have the same id, so that it is carried out at most once. */
async function setEvacuation(
  {console}: CommandContext,
  options: OrderOptions,
  domain: string,
  evacuated: boolean,
): Promise<ExitCode> {
  const {changeId = randomUUID()} = options;
  const reply = await new ControlClient(options.control).change(
    'control.setEvacuation',
    {domain, evacuated, changeId},
    computeCommandDeadline(options),
    'idempotent',
  );
  return reply.caseOf<ExitCode>({
    Left: failure =>
      reportFailure(
        console,
        options,
        failure.kind === 'unanswered'
          ? {
              ...failure,
              detail: `${failure.detail}; to learn the outcome see "domain list" or repeat the order with --change-id ${changeId}`,
            }
          : failure,
      ),
    Right: result => {
      switch (result.kind) {
        case 'done': {
          printResult(
            console,
            options,
            {done: true, domain, evacuated, changeId},
            () => `done: ${evacuated ? 'evacuate' : 'restore'} ${domain}`,
          );
          return exitCode.ok;
        }
        case 'unknown-domain':
          return reportFailure(console, options, {
            kind: 'refused',
            detail: `no process was ever in failure domain "${domain}"; see "domain list"`,
          });
        default:
          return failUnreachable(result);
      }
    },
  });
}
