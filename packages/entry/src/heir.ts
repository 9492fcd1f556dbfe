import type {EndedEpoch, Epoch, TargetId, TaskRef} from '#model';
import type {AdmittedJob, FenceResult, GoneTarget} from '#protocol';
import type {AgentLink} from './link.js';
import {formatTask, type TaskEnd} from './sent-tasks.js';

/** What the agents know of a task that an ended epoch started. */
export type Inherited =
  | {readonly kind: 'ended'; readonly end: TaskEnd}
  | {
      readonly kind: 'running';
      readonly target: TargetId;
      readonly incarnation: number;
      readonly end: Promise<TaskEnd>;
    };

/** What fencing a set of ended epochs at every agent has brought. */
export interface Estate {
  readonly tasks: ReadonlyMap<string, Inherited>;
  /** The lives of agents that answered. */
  readonly answered: ReadonlyMap<TargetId, number>;
  /** Agents that did not answer before they left the view. */
  readonly silent: readonly TargetId[];
}

/** Lists the ended epochs whose jobs belong to an epoch, through every heir between. */
export function listInherited(
  ended: readonly EndedEpoch[],
  heir: Epoch,
): readonly Epoch[] {
  const heirs = new Map(ended.map(({epoch, heir: next}) => [epoch, next]));
  const leadsToHeir = (epoch: Epoch): boolean => {
    const next = heirs.get(epoch);
    if (next === undefined) return false;
    return next === heir || leadsToHeir(next);
  };
  return [...heirs.keys()].filter(leadsToHeir).sort((a, b) => a - b);
}

/** Fences epochs at every agent and gathers what they started. */
export async function collectEstate(
  links: readonly AgentLink[],
  epochs: readonly Epoch[],
  heir: Epoch,
): Promise<Estate> {
  const tasks = new Map<string, Inherited>();
  const answered = new Map<TargetId, number>();
  const silent: TargetId[] = [];
  await Promise.all(
    links.map(async link => {
      const last = await link.fence(epochs, heir, page =>
        takeOver(link, page, tasks),
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

function takeOver(
  link: AgentLink,
  result: FenceResult,
  tasks: Map<string, Inherited>,
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

/** What the heir's view tells of agents' lives. */
export interface Lives {
  /** The incarnation of a target in the view, if it is there. */
  readonly getIncarnation: (target: TargetId) => number | undefined;
  readonly gone: readonly GoneTarget[];
}

/**
 * True when a task of the job that no agent reported cannot have started: every
 * agent answered, none that the job's epoch may have used is gone, and the job's
 * deadline has not passed, so that the agents still keep all they started of it.
 *
 * An agent may answer in a new life before the view shows that its old one is
 * over. Its answer counts only once the view knows the life that gave it, for
 * then the view also knows the one before.
 */
export function isUnreportedSafe(
  estate: Estate,
  {getIncarnation, gone}: Lives,
  standing: AdmittedJob,
): boolean {
  if (!standing.mayStart || estate.silent.length > 0) return false;
  for (const [target, incarnation] of estate.answered) {
    const known = getIncarnation(target);
    const wasSeen = gone.some(
      life => life.target === target && life.incarnation === incarnation,
    );
    if (known !== incarnation && !wasSeen) return false;
  }
  return gone.every(({revision}) => revision < standing.revision);
}
