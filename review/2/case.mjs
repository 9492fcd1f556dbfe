// ROUTE: a task with `required_label` starts on an executor without that label.
import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';
import {hasTrouble, newKeepAliveAgent, nowMs, runCase, sleep} from '../lib/site.mjs';

const agents = 8;
/** Executors of either kind in turn, so that both kinds stay in the service. */
const crashOrder = [0, 4, 1, 5, 2, 6, 3, 7];
const downMs = 1500;
const spec = JSON.stringify({workMs: 100, cpu: 1000, mem: 64});

await runCase(dirname(fileURLToPath(import.meta.url)), async start => {
  const site = await start({
    agents,
    describeExecutor: i => ({labels: [i < 4 ? 'a' : 'b', 'r1-1'], room: {cpu: 8000, mem_mb: 16384, gpu: 0}}),
  });
  if (!(await site.configure(7))) throw new Error('the operator got no acknowledgement');
  await site.waitUntilReady();
  const agent = newKeepAliveAgent();
  let isSending = true;
  const pending = new Set();
  const client = (async () => {
    for (let n = 0; isSending; n++) {
      // Tasks that need label `a`, about four fifths of the room of the executors that have it.
      const job = site.submit({
        entry: site.entries[n % site.entries.length],
        spec,
        steps: [{count: 4, cpu: 1000, mem_mb: 64, estimate_ms: 100, required_label: 'a'}],
        agent,
      });
      pending.add(job);
      void job.then(() => pending.delete(job));
      await sleep(14);
    }
  })();
  await sleep(3000);
  for (const [n, index] of crashOrder.entries()) {
    const executor = site.executors[index];
    if (hasTrouble) {
      await site.crashExecutor(executor);
      await sleep(downMs);
      // A new incarnation at the same address, of the other kind.
      executor.id = `${executor.id.slice(0, 10)}-${n}`;
      executor.labels = [executor.labels[0] === 'a' ? 'b' : 'a', 'r1-1'];
      site.startExecutor(executor);
    }
    await sleep(hasTrouble ? 4500 : 6000);
  }
  isSending = false;
  await client;
  await Promise.all(pending);
  await sleep(300);
  const starts = site.events.filter(({event}) => event === 'start');
  const wrong = starts.filter(({labels}) => !labels.includes('a'));
  return {
    summary: [`${starts.length} starts of tasks that need label a, ${wrong.length} of them on executors without it`],
    breaks: wrong.map(({at, executor, task, run, labels}) => `ROUTE at ${(at - site.startedAt).toFixed(1)}: ${task} run ${run} with required_label a started on ${executor} with labels ${labels}`),
  };
});
