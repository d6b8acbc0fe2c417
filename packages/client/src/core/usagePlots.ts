/** Plots of a usage report, rendered to SVG without a browser. */
import { BarChart } from 'echarts/charts';
import { GridComponent, LegendComponent } from 'echarts/components';
import { init, use } from 'echarts/core';
import type { EChartsCoreOption } from 'echarts/core';
import { SVGRenderer } from 'echarts/renderers';

import type { QueueUsage, TeamUsage, UsageOverTime } from './usageSummary.js';

const WIDTH_PIXELS = 960;
const PLOT_HEIGHT_PIXELS = 360;
const BAR_HEIGHT_PIXELS = 28;
const AXIS_HEIGHT_PIXELS = 50;
const PERCENT = 100;
const HOUR_TEXT_LENGTH = 'MM-DD HH:MM'.length;
const DATE_LENGTH = 'YYYY-MM-DD'.length;
/** Okabe-Ito palette: distinguishable for most colour-blind readers. */
const COLOURS = [
  '#0072B2',
  '#E69F00',
  '#009E73',
  '#CC79A7',
  '#56B4E9',
  '#D55E00',
  '#F0E442',
  '#666666',
];
/** Fixed margins in pixels: the library cannot measure the reader's font, and labels would be cut off. */
const GRID = { left: 80, right: 30, top: 50, bottom: 30, outerBoundsMode: 'none' };
/** Width of a wide character in the 12-pixel font of the labels. */
const CHARACTER_PIXELS = 7;
const LABEL_GAP_PIXELS = 16;

use([BarChart, GridComponent, LegendComponent, SVGRenderer]);

function render(option: EChartsCoreOption, height: number): string {
  const chart = init(null, null, {
    renderer: 'svg',
    ssr: true,
    width: WIDTH_PIXELS,
    height,
  });
  chart.setOption({ animation: false, color: COLOURS, grid: GRID, ...option });
  const svg = chart.renderToSVGString();
  chart.dispose();
  return svg;
}

function formatIntervalStart(start: number, unit: UsageOverTime['unit']): string {
  const text = new Date(start).toISOString();
  if (unit === 'day') return text.slice(0, DATE_LENGTH);
  return text.slice('YYYY-'.length, 'YYYY-'.length + HOUR_TEXT_LENGTH).replace('T', ' ');
}

/** Draws core hours over time, stacked by team, as SVG. */
export function drawUsageOverTime({ unit, starts, series }: UsageOverTime): string {
  return render(
    {
      legend: { top: 0, itemGap: 24 },
      xAxis: { type: 'category', data: starts.map((start) => formatIntervalStart(start, unit)) },
      yAxis: { type: 'value', name: 'core hours' },
      series: series.map(({ team, coreHours }) => ({
        type: 'bar',
        name: team,
        stack: 'teams',
        barMaxWidth: 40,
        data: coreHours,
      })),
    },
    PLOT_HEIGHT_PIXELS,
  );
}

/** Inverts the vertical axis: the library puts the first bar at the bottom, but tables start at the top. */
function drawBars(
  names: readonly string[],
  axis: string,
  series: readonly { readonly name: string; readonly data: readonly number[] }[],
): string {
  const bars = names.length * series.length;
  const longest = names.reduce((most, name) => Math.max(most, name.length), 0);
  const left = longest * CHARACTER_PIXELS + LABEL_GAP_PIXELS;
  return render(
    {
      legend: { top: 0, itemGap: 24, show: series.length > 1 },
      xAxis: { type: 'value', name: axis, nameLocation: 'middle', nameGap: 26 },
      yAxis: { type: 'category', inverse: true, data: [...names] },
      grid: { ...GRID, left, bottom: 50 },
      series: series.map(({ name, data }) => ({
        type: 'bar',
        name,
        barMaxWidth: BAR_HEIGHT_PIXELS,
        data: [...data],
      })),
    },
    bars * BAR_HEIGHT_PIXELS + AXIS_HEIGHT_PIXELS + GRID.top,
  );
}

/** Draws the core hours of each team and queue as SVG. */
export function drawUsageByQueue(usages: readonly QueueUsage[]): string {
  return drawBars(
    usages.map(({ team, queue }) => `${team}, ${queue}`),
    'core hours',
    [{ name: 'core hours', data: usages.map(({ coreHours }) => coreHours) }],
  );
}

/** Draws the fraction of all core hours that each team used next to the fraction due by its share, as SVG. */
export function drawTeamFractions(usages: readonly TeamUsage[]): string {
  return drawBars(
    usages.map(({ team }) => team),
    '% of all core hours',
    [
      { name: 'used', data: usages.map(({ usedFraction }) => usedFraction * PERCENT) },
      { name: 'part by share', data: usages.map(({ shareFraction }) => shareFraction * PERCENT) },
    ],
  );
}
