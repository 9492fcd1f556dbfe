import type {JobId, ServiceName, TaskSpec, TeamName} from './id.js';

/** A validated job of a caller, as entries forward it to each other. */
export interface Submission {
  readonly job: JobId;
  readonly team: TeamName;
  readonly service: ServiceName;
  readonly digest: string;
  readonly unrepeatable: boolean;
  readonly tasks: readonly TaskSpec[];
}
