import {type EChartsOption, init} from 'echarts';
import type {HistogramRow, PlacementRow, RecoveryRow} from './report-row.js';

const width = 760;
const height = 380;
const grid = {left: 64, right: 24, top: 48, bottom: 56};

/** Distinguishable with the common forms of colour blindness. */
const colours = ['#0072b2', '#d55e00', '#009e73', '#cc79a7'];

/** Renders a chart as SVG text. */
function renderSvg(option: EChartsOption): string {
  const chart = init(null, null, {renderer: 'svg', ssr: true, width, height});
  chart.setOption({
    animation: false,
    color: colours,
    backgroundColor: '#fff',
    legend: {top: 8},
    grid,
    ...option,
  });
  const svg = chart.renderToSVGString();
  chart.dispose();
  return svg;
}

function describeAxis(name: string) {
  return {name, nameLocation: 'middle', nameGap: 36} as const;
}

/** Plots a value against the load: for each policy a line through the means and a mark for each run. */
export function plotByLoad(
  rows: readonly PlacementRow[],
  unit: string,
  read: (row: PlacementRow) => number,
): string {
  const policies = [...new Set(rows.map(({policy}) => policy))];
  const listPoints = (policy: string) =>
    rows
      .filter(row => row.policy === policy)
      .map(row => [row.load, read(row)] as [number, number]);
  return renderSvg({
    legend: {top: 8, data: policies},
    xAxis: {
      type: 'value',
      min: 0,
      max: 1,
      ...describeAxis('offered work over capacity'),
    },
    yAxis: {type: 'value', ...describeAxis(unit)},
    series: policies.flatMap((policy, i) => [
      {
        name: policy,
        type: 'line' as const,
        symbol: 'none',
        color: colours[i],
        data: computeMeans(listPoints(policy)),
      },
      {
        name: `${policy}, each run`,
        type: 'scatter' as const,
        color: colours[i],
        data: listPoints(policy),
      },
    ]),
  });
}

/** Computes the mean y of each distinct x, in ascending order of x. */
export function computeMeans(
  points: readonly (readonly [number, number])[],
): [number, number][] {
  const xs = [...new Set(points.map(([x]) => x))].sort((a, b) => a - b);
  return xs.map(x => {
    const values = points.filter(point => point[0] === x).map(([, y]) => y);
    return [x, values.reduce((sum, y) => sum + y, 0) / values.length];
  });
}

const quantiles = ['p50', 'p90', 'p99', 'max'] as const;
const minPlottedValue = 0.01;

/** Plots the quantiles of one measure by entry, team and service. */
export function plotHistograms(
  rows: readonly HistogramRow[],
  unit: string,
): string {
  const names = rows.map(
    ({entry, summary}) => `${entry}\n${summary.team}\n${summary.service}`,
  );
  return renderSvg({
    grid: {...grid, bottom: 72},
    xAxis: {
      type: 'category',
      data: names,
      axisLabel: {interval: 0, fontSize: 10},
    },
    yAxis: {
      type: 'log',
      name: unit,
      nameLocation: 'middle',
      nameGap: 44,
    },
    series: quantiles.map(quantile => ({
      name: quantile,
      type: 'bar' as const,
      data: rows.map(({summary}) =>
        Math.max(minPlottedValue, summary[quantile]),
      ),
    })),
  });
}

const msPerSecond = 1000;

/** Plots the rate of finished tasks over time and marks the kill and the restart. */
export function plotRecovery(row: RecoveryRow): string {
  const {binMs, finished, killedAtMs, restartedAtMs} = row;
  const toSeconds = (ms: number) => ms / msPerSecond;
  const points = finished.map((rate, i): [number, number] => [
    toSeconds(i * binMs),
    rate,
  ]);
  const last = points.at(-1)!;
  const marks = [
    {xAxis: toSeconds(killedAtMs), name: 'killed'},
    {xAxis: toSeconds(restartedAtMs), name: 'started again'},
  ];
  return renderSvg({
    legend: {show: false},
    xAxis: {
      type: 'value',
      min: 0,
      max: toSeconds(finished.length * binMs),
      ...describeAxis('seconds'),
    },
    yAxis: {type: 'value', min: 0, ...describeAxis('tasks a second')},
    series: [
      {
        type: 'line',
        step: 'end',
        symbol: 'none',
        areaStyle: {opacity: 0.15},
        data: [...points, [toSeconds(finished.length * binMs), last[1]]],
        markLine: {
          symbol: 'none',
          lineStyle: {color: colours[1], type: 'dashed'},
          label: {formatter: '{b}'},
          data: marks,
        },
      },
    ],
  });
}
