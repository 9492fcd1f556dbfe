import {array, Codec, type GetType, number, string} from 'purify-ts/Codec';

const usageReport = Codec.interface({
  ageMs: number,
  tasks: array(
    Codec.interface({
      job: string,
      task: number,
      cores: number,
      memoryMb: number,
      accelerators: number,
      ageMs: number,
    }),
  ),
});

/** Resource usage of one task, `ageMs` ago. */
export type TaskUsage = Readonly<GetType<typeof usageReport>['tasks'][number]>;

/** All tasks that a worker ran `ageMs` ago. */
export type UsageReport = Readonly<GetType<typeof usageReport>>;

/** Parses a worker's usage report; undefined when it is malformed. */
export function parseUsage(body: unknown): UsageReport | undefined {
  return usageReport.decode(body).toMaybe().extract();
}
