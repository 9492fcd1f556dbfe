import type {JobId, ServiceName, TaskSpec, TeamName} from './id.js';

/** A caller's job, checked, as entries hand it to each other. */
export interface Submission {
  readonly job: JobId;
  readonly team: TeamName;
  readonly service: ServiceName;
  readonly digest: string;
  readonly unrepeatable: boolean;
  readonly tasks: readonly TaskSpec[];
}
