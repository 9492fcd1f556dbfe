import {readFileSync} from 'node:fs';

/** What a process has used of the machine. */
export interface Usage {
  readonly cpuMs: number;
  readonly residentMb: number;
}

const ticksPerSecond = 100;
const pageBytes = 4096;
// Of the fields after the command's name in /proc/PID/stat.
const userTicksField = 11;
const systemTicksField = 12;
const residentPagesField = 21;

/** Reads the processor time since its start and the memory of a process; zeros when it has ended. */
export function readUsage(pid: number): Usage {
  const text = readStat(pid);
  if (text === undefined) return {cpuMs: 0, residentMb: 0};
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
  const ticks =
    Number(fields[userTicksField]) + Number(fields[systemTicksField]);
  return {
    cpuMs: (ticks * 1000) / ticksPerSecond,
    residentMb: (Number(fields[residentPagesField]) * pageBytes) / 2 ** 20,
  };
}

function readStat(pid: number): string | undefined {
  try {
    return readFileSync(`/proc/${pid}/stat`, 'utf8');
  } catch {
    return undefined;
  }
}

/** Sums the usage of processes. */
export function sumUsage(pids: readonly number[]): Usage {
  return pids.map(readUsage).reduce((sum, one) => ({
    cpuMs: sum.cpuMs + one.cpuMs,
    residentMb: sum.residentMb + one.residentMb,
  }));
}
