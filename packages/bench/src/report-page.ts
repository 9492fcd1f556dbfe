import {plotByLoad, plotHistograms, plotRecovery} from './report-chart.js';
import {
  type FailureRow,
  filterRows,
  type HistogramRow,
  type PlacementRow,
  type RecoveryRow,
  type ReportRow,
  type RunRow,
} from './report-row.js';

type Cell = string | number;

/** Renders rows as a self-contained HTML page. */
export function renderPage(rows: readonly ReportRow[]): string {
  const sections = [
    ...filterRows(rows, 'run').map(renderRun),
    ...renderPlacement(filterRows(rows, 'placement')),
    ...renderHistograms(filterRows(rows, 'histogram')),
    ...filterRows(rows, 'recovery').map(renderRecovery),
    ...filterRows(rows, 'failure').map(renderFailure),
  ];
  return [
    '<!doctype html>',
    '<html lang="en"><head><meta charset="utf-8">',
    '<title>wasabiring bench report</title>',
    `<style>${style}</style></head><body>`,
    '<h1>wasabiring bench report</h1>',
    ...sections,
    '</body></html>',
    '',
  ].join('\n');
}

const style = `
body { font: 15px/1.45 system-ui, sans-serif; max-width: 800px; margin: 2em auto; padding: 0 1em; }
table { border-collapse: collapse; margin: 1em 0; font-size: 13px; }
th, td { border-bottom: 1px solid #ccc; padding: 2px 10px; text-align: right; }
th:first-child, td:first-child { text-align: left; }
svg { max-width: 100%; height: auto; }
`;

function renderRun(run: RunRow): string {
  return renderText(
    `Measured from ${run.startedAt} on ${run.processors} processors, seed ${run.seed}, ${run.repeats} seeded loads a policy; load average at the start ${run.loadAverage.toFixed(1)}. Callers, stand-in targets and all processes share the machine.`,
  );
}

function renderPlacement(rows: readonly PlacementRow[]): readonly string[] {
  if (rows.length === 0) return [];
  return [
    renderHeading('Placement policies'),
    renderText(
      '10 executors of 8 slots whose speeds lie up to 10-fold apart, declared run times up to 5-fold off. The ideal is the time of the job’s longest task at the fastest target. Lines go through the means, marks are single runs.',
    ),
    renderHeading('Response over ideal, median', 3),
    plotByLoad(rows, 'ms', ({p50Ms}) => p50Ms),
    renderHeading('Response over ideal, 99th percentile', 3),
    plotByLoad(rows, 'ms', ({p99Ms}) => p99Ms),
    renderHeading('Wasted messages a job', 3),
    renderText(
      'Messages between entries and agents that ask for, move or give back slots, and refused starts.',
    ),
    plotByLoad(rows, 'messages a job', ({wastedPerJob}) => wastedPerJob),
    renderTable(
      [
        'policy',
        'load',
        'seed',
        'complete',
        'p50 ms',
        'p99 ms',
        'wasted a job',
        'load average',
      ],
      rows.map(row => [
        row.policy,
        row.load,
        row.seed,
        `${row.complete} of ${row.jobs}`,
        Math.round(row.p50Ms),
        Math.round(row.p99Ms),
        row.wastedPerJob.toFixed(2),
        row.loadAverage.toFixed(1),
      ]),
    ),
  ];
}

/** Measures with their units and titles, in page order. */
const measures = [
  ['response', 'ms', 'Response of complete jobs'],
  ['queue-wait', 'ms', 'Wait of a task in its service’s queue'],
  ['run', 'ms', 'Run of a task at its target'],
  ['response-over-ideal', 'ratio', 'Response over the longest run'],
] as const;

function renderHistograms(rows: readonly HistogramRow[]): readonly string[] {
  if (rows.length === 0) return [];
  return [
    renderHeading('Latency by team and service'),
    renderText(
      'The histograms that each entry’s /v1/status shows after a load of two teams on two services. The scale is logarithmic; 0 is drawn at 0.01.',
    ),
    ...measures.flatMap(([measure, unit, title]) => {
      const selected = rows.filter(({summary}) => summary.measure === measure);
      if (selected.length === 0) return [];
      return [
        renderHeading(title, 3),
        plotHistograms(selected, unit),
        renderHistogramTable(selected),
      ];
    }),
  ];
}

function renderHistogramTable(rows: readonly HistogramRow[]): string {
  return renderTable(
    ['entry', 'team', 'service', 'count', 'mean', 'p50', 'p90', 'p99', 'max'],
    rows.map(({entry, summary}) => [
      entry,
      summary.team,
      summary.service,
      summary.count,
      summary.mean,
      summary.p50,
      summary.p90,
      summary.p99,
      summary.max,
    ]),
  );
}

function renderRecovery(row: RecoveryRow): string {
  return [
    renderHeading(`Recovery: ${row.victim} killed`),
    renderText(
      `Tasks a second of whole answers that reached their callers, in bins of ${row.binMs} ms. Killed at ${row.killedAtMs / 1000} s, started again at ${row.restartedAtMs / 1000} s; ${row.complete} of ${row.jobs} jobs complete, ${row.unknown} unknown; seed ${row.seed}, load average ${row.loadAverage.toFixed(1)}.`,
    ),
    plotRecovery(row),
  ].join('\n');
}

function renderFailure({experiment, detail}: FailureRow): string {
  return renderText(`No result: ${experiment}. ${detail}`);
}

function renderHeading(text: string, level: 2 | 3 = 2): string {
  return `<h${level}>${escapeHtml(text)}</h${level}>`;
}

function renderText(text: string): string {
  return `<p>${escapeHtml(text)}</p>`;
}

function renderTable(
  heading: readonly string[],
  rows: readonly (readonly Cell[])[],
): string {
  const renderRow = (tag: 'th' | 'td', cells: readonly Cell[]) =>
    `<tr>${cells.map(cell => `<${tag}>${escapeHtml(String(cell))}</${tag}>`).join('')}</tr>`;
  return `<table>${renderRow('th', heading)}${rows.map(row => renderRow('td', row)).join('')}</table>`;
}

function escapeHtml(text: string): string {
  return text
    .replaceAll('&', '&amp;')
    .replaceAll('<', '&lt;')
    .replaceAll('>', '&gt;')
    .replaceAll('"', '&quot;');
}
