import {
  array,
  boolean,
  Codec,
  exactly,
  number,
  optional,
  string,
  tuple,
} from 'purify-ts/Codec';
import {count, nonNegative} from './number-codecs.js';

/** The capacity of a target that holds runs of any size. */
export const roomCapacity = Codec.interface({
  kind: exactly('room'),
  cpuMillis: count,
  memoryMb: count,
  accelerators: count,
  labels: array(string),
});
const resourceRequest = Codec.interface({
  cpuMillis: nonNegative,
  memoryMb: nonNegative,
  accelerators: nonNegative,
});
/** A batch of `runner.place`. */
export const runBatch = Codec.interface({
  job: string,
  payload: string,
  step: count,
  demand: resourceRequest,
  service: optional(string),
  requiredLabel: optional(string),
  estimateMs: nonNegative,
  rankMs: number,
  mayWait: optional(boolean),
  runs: array(tuple([count, count, count])),
});
const runEnd = exactly(
  'succeeded',
  'failed',
  'stopped',
  'lapsed',
  'not-run',
  'unanswered',
  'stalled',
);
const targetLoad = Codec.interface({
  open: boolean,
  cpuMillis: nonNegative,
  memoryMb: nonNegative,
  accelerators: nonNegative,
  slowness: nonNegative,
  failing: nonNegative,
  waitingRankMs: optional(number),
});

/** The parameters of `dispatcher.report`. */
export const runReport = Codec.interface({
  ends: array(tuple([count, runEnd, nonNegative])),
  load: targetLoad,
  executor: optional(
    Codec.interface({service: string, capacity: roomCapacity}),
  ),
  question: optional(count),
});
