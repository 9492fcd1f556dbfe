import type {EndedEpoch, Epoch, TargetId, TaskRef} from '#model';
import type {AdmittedJob, FenceResult, GoneTarget} from '#protocol';
import type {AgentLink} from './agent-link.js';
import {formatTask, type TaskEnd} from './sent-tasks.js';

/** What an agent reports about a task that an ended epoch started. */
export type InheritedTask =
  | {readonly kind: 'ended'; readonly end: TaskEnd}
  | {
      readonly kind: 'running';
      readonly target: TargetId;
      readonly incarnation: number;
      readonly end: Promise<TaskEnd>;
    };

/** The result of fencing a set of ended epochs at every agent. */
export interface FenceReport {
  readonly tasks: ReadonlyMap<string, InheritedTask>;
  /** Incarnations of the agents that answered. */
  readonly answered: ReadonlyMap<TargetId, number>;
  /** Agents that did not answer before they left the view. */
  readonly silent: readonly TargetId[];
}

/**
 * Lists the ended epochs whose jobs pass to `successor`, directly or through other epochs that
 * ended since.
 */
export function listInheritedEpochs(
  ended: readonly EndedEpoch[],
  successor: Epoch,
): readonly Epoch[] {
  const successors = new Map(ended.map(({epoch, heir: next}) => [epoch, next]));
  const hasSuccessor = (epoch: Epoch): boolean => {
    const next = successors.get(epoch);
    if (next === undefined) return false;
    return next === successor || hasSuccessor(next);
  };
  return [...successors.keys()].filter(hasSuccessor).sort((a, b) => a - b);
}

/** Fences epochs at every agent and collects the tasks that they started. */
export async function collectFenceReport(
  links: readonly AgentLink[],
  epochs: readonly Epoch[],
  successor: Epoch,
): Promise<FenceReport> {
  const tasks = new Map<string, InheritedTask>();
  const answered = new Map<TargetId, number>();
  const silent: TargetId[] = [];
  await Promise.all(
    links.map(async link => {
      const last = await link.fence(epochs, successor, page =>
        adoptTasks(link, page, tasks),
      );
      if (last === undefined) {
        silent.push(link.target.target);
        return;
      }
      answered.set(last.target, last.incarnation);
    }),
  );
  return {tasks, answered, silent};
}

function adoptTasks(
  link: AgentLink,
  result: FenceResult,
  tasks: Map<string, InheritedTask>,
): void {
  for (const {job, task, standing} of result.tasks) {
    const ref: TaskRef = {job, task};
    if (standing.kind === 'ended') {
      tasks.set(formatTask(ref), {
        kind: 'ended',
        end: {fate: standing.fate, runMs: 0},
      });
    }
    if (standing.kind === 'running') {
      tasks.set(formatTask(ref), {
        kind: 'running',
        target: result.target,
        incarnation: result.incarnation,
        end: link.adopt(ref),
      });
    }
  }
}

/** Current and past agent incarnations, as the successor's view shows them. */
export interface AgentIncarnations {
  /** The incarnation of a target in the view, if it is there. */
  readonly getIncarnation: (target: TargetId) => number | undefined;
  readonly gone: readonly GoneTarget[];
}

/**
 * True when a task of the job that no agent reported cannot have started: every
 * agent answered, none that the job's epoch may have used is gone, and the job's
 * deadline has not passed, so that the agents still retain all its tasks.
 *
 * A restarted agent may answer before the view shows that its previous
 * incarnation has ended. Its answer counts only once the view contains the
 * incarnation that answered, because the view then also shows the end of the
 * previous one.
 */
export function canStartUnreported(
  report: FenceReport,
  {getIncarnation, gone}: AgentIncarnations,
  record: AdmittedJob,
): boolean {
  if (!record.mayStart || report.silent.length > 0) return false;
  for (const [target, incarnation] of report.answered) {
    const known = getIncarnation(target);
    const hasLeft = gone.some(
      each => each.target === target && each.incarnation === incarnation,
    );
    if (known !== incarnation && !hasLeft) return false;
  }
  return gone.every(({revision}) => revision < record.revision);
}
