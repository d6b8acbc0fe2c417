/**
 * Plots of a usage report as SVG texts, rendered without a browser.
 */
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
/** Colours that remain distinct for most colour-blind readers (Okabe and Ito). */
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
/** The library does not know the reader's font; widths are given so that no label is cut off. */
const GRID = { left: 80, right: 30, top: 50, bottom: 30, outerBoundsMode: 'none' };
/** Width of a wide character of the 12-pixel labels. */
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

/**
 * Draws core hours over time, stacked by team.
 *
 * @param use core hours per interval and team
 * @returns SVG text
 */
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

/** Horizontal bars begin at the bottom, tables at the top. */
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

/**
 * Draws core hours of each team and queue.
 *
 * @param uses use per team and queue
 * @returns SVG text
 */
export function drawUsageByQueue(uses: readonly QueueUsage[]): string {
  return drawBars(
    uses.map(({ team, queue }) => `${team}, ${queue}`),
    'core hours',
    [{ name: 'core hours', data: uses.map(({ coreHours }) => coreHours) }],
  );
}

/**
 * Draws the part that each team used beside the part that its share gives it.
 *
 * @param uses use per team
 * @returns SVG text
 */
export function drawTeamFractions(uses: readonly TeamUsage[]): string {
  return drawBars(
    uses.map(({ team }) => team),
    '% of all core hours',
    [
      { name: 'used', data: uses.map(({ usedFraction: usedPart }) => usedPart * PERCENT) },
      { name: 'part by share', data: uses.map(({ shareFraction: part }) => part * PERCENT) },
    ],
  );
}
