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

/** What a worker reports of one task, and how long ago that was so. */
export type TaskUsage = Readonly<GetType<typeof usageReport>['tasks'][number]>;

/** What a worker held when it took its report, and how long ago that was. */
export type UsageReport = Readonly<GetType<typeof usageReport>>;

/** Reads a worker's usage report; undefined when it is malformed. */
export function parseUsage(body: unknown): UsageReport | undefined {
  return usageReport.decode(body).toMaybe().extract();
}
