import {readdirSync, readFileSync} from 'node:fs';

/** Processor time and resident memory of a process. */
export interface Usage {
  readonly cpuMs: number;
  readonly residentMb: number;
}

const nsPerMs = 1_000_000;
const pageBytes = 4096;
const bytesPerMb = 2 ** 20;

/** Reads the processor time of a process's live threads and its memory; zeros when it has ended. */
export function readUsage(pid: number): Usage {
  try {
    const statm = readFileSync(`/proc/${pid}/statm`, 'utf8').split(' ');
    return {
      cpuMs: sumThreadNs(pid) / nsPerMs,
      residentMb: (Number(statm[1]) * pageBytes) / bytesPerMb,
    };
  } catch {
    return {cpuMs: 0, residentMb: 0};
  }
}

/** Sums the processor time that the scheduler reports for the live threads, in ns. */
function sumThreadNs(pid: number): number {
  const threads = readdirSync(`/proc/${pid}/task`);
  return threads.reduce((sum, thread) => sum + readThreadNs(pid, thread), 0);
}

function readThreadNs(pid: number, thread: string): number {
  const path = `/proc/${pid}/task/${thread}/schedstat`;
  return Number(readFileSync(path, 'utf8').split(' ')[0]);
}

export function sumUsage(pids: readonly number[]): Usage {
  return pids.map(readUsage).reduce(
    (sum, usage) => ({
      cpuMs: sum.cpuMs + usage.cpuMs,
      residentMb: sum.residentMb + usage.residentMb,
    }),
    {cpuMs: 0, residentMb: 0},
  );
}
