/** Bounds of the rule UNASKED, in ms, as the site file states them. */
const cancelMs = 3000;
const stopMs = 50;

/**
 * Judges the rule UNASKED for cancelled jobs. `cancelled` maps a job to the time at which its cancelling
 * was acknowledged. Returns a line for each task that started or ran later than the rule allows.
 */
export function listUnasked({starts, ends}, cancelled, now) {
  const findings = [];
  const endedAt = new Map(ends.map(end => [describeRun(end), end.at]));
  for (const start of starts) {
    const ackedAt = cancelled.get(start.task.split('.')[0]);
    if (ackedAt === undefined) continue;
    const run = describeRun(start);
    const startedMs = Math.round(start.at - ackedAt);
    const ranMs = Math.round((endedAt.get(run) ?? now) - ackedAt);
    if (startedMs > cancelMs) {
      findings.push(`${run} started ${startedMs} ms after the cancelling was acknowledged`);
    } else if (ranMs > cancelMs + stopMs) {
      findings.push(`${run} ran for ${ranMs} ms after the cancelling was acknowledged`);
    }
  }
  return findings;
}

function describeRun({executor, task, run}) {
  return `task ${task}, run ${run} at ${executor}`;
}
