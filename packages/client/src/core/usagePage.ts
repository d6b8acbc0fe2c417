/** Renders a usage report as one self-contained HTML file that can be passed on: no scripts, no external resources. */
import type { ConfigurationDocument } from '@chicorybend/common';

import { drawTeamFractions, drawUsageByQueue, drawUsageOverTime } from './usagePlots.js';
import { sumByQueue, sumByTeam, sumOverTime, sumUsage } from './usageSummary.js';
import type { TeamUsage, UsageRow, Usage } from './usageSummary.js';

/** Usage, configuration and period of a page. */
export interface UsagePageInput {
  /** Rows of all teams, since the fractions of a team refer to the whole cell. */
  readonly rows: readonly UsageRow[];
  /** Team whose usage is shown; absent means all. */
  readonly team?: string | undefined;
  readonly sections: ConfigurationDocument;
  readonly missing: readonly { readonly partition: number; readonly reason: string }[];
  /** Period as the operator entered it. */
  readonly from?: string | undefined;
  readonly to?: string | undefined;
  /** Wall-clock time in milliseconds since the Unix epoch. */
  readonly createdAt: number;
}

const MAXIMUM_BARS = 20;

const STYLE = `
  body { font: 16px/1.5 sans-serif; color: #222; max-width: 60rem; margin: 2rem auto; padding: 0 1rem; }
  table { border-collapse: collapse; width: 100%; margin: 1rem 0; }
  th, td { border-bottom: 1px solid #ccc; padding: 0.3rem 0.6rem; text-align: right; }
  th:first-child, td:first-child, .name { text-align: left; }
  tfoot { font-weight: bold; }
  caption { text-align: left; font-weight: bold; padding: 0.3rem 0; }
  svg { max-width: 100%; height: auto; }
  figure { margin: 1rem 0; }
  .warning { border-left: 4px solid #D55E00; padding-left: 1rem; }
`;

const UNITS = `
  <p>The report counts durable work: batches, gangs and services. An execution counts from its start to its end
  by the clock of the worker that ran it, and one that still runs up to the last report of its worker, about a
  second before this page was made. It counts with what it reserved, whether it used all of that or not.
  Interactive requests are not counted.</p>
  <ul>
    <li>1 <strong>core hour</strong>: one processor core, reserved for one hour.</li>
    <li>1 <strong>GiB hour</strong>: 1 GiB (1,073,741,824 bytes) of memory, reserved for one hour.</li>
    <li>1 <strong>accelerator hour</strong>: one accelerator, reserved for one hour.</li>
    <li><strong>Executions</strong>: how often a task was started; a task that was started again counts again.</li>
  </ul>`;

const HTML_ESCAPES: Readonly<Record<string, string>> = {
  '&': '&amp;',
  '<': '&lt;',
  '>': '&gt;',
  '"': '&quot;',
};

function escapeHtml(text: string): string {
  return text.replace(/[&<>"]/g, (character) => HTML_ESCAPES[character] ?? '');
}

function formatNumber(value: number): string {
  return value.toLocaleString('en-GB', { minimumFractionDigits: 2, maximumFractionDigits: 2 });
}

function formatFraction(fraction: number): string {
  return fraction.toLocaleString('en-GB', { style: 'percent', maximumFractionDigits: 1 });
}

function formatUsage(usage: Usage): string[] {
  return [
    formatNumber(usage.coreHours),
    formatNumber(usage.gibibyteHours),
    formatNumber(usage.acceleratorHours),
    usage.tasks.toLocaleString('en-GB'),
  ];
}

const USAGE_COLUMN_TITLES = ['core hours', 'GiB hours', 'accelerator hours', 'executions'];

function renderRow(tag: 'td' | 'th', cells: readonly string[]): string {
  return `<tr>${cells.map((cell) => `<${tag}>${escapeHtml(cell)}</${tag}>`).join('')}</tr>`;
}

function renderTable(
  caption: string,
  head: readonly string[],
  rows: readonly (readonly string[])[],
  foot: readonly string[],
): string {
  return [
    `<table><caption>${escapeHtml(caption)}</caption>`,
    `<thead>${renderRow('th', head)}</thead>`,
    `<tbody>${rows.map((row) => renderRow('td', row)).join('\n')}</tbody>`,
    `<tfoot>${renderRow('td', foot)}</tfoot></table>`,
  ].join('\n');
}

/** Limits the bars of a plot, since hundreds of them are unreadable; the tables show every row. */
function selectLargest<Row extends Usage>(usages: readonly Row[]): readonly Row[] {
  const sorted = [...usages].sort((left, right) => right.coreHours - left.coreHours);
  const largest = new Set(sorted.slice(0, MAXIMUM_BARS));
  return usages.filter((usage) => largest.has(usage));
}

function renderBarPlot<Row extends Usage>(
  label: string,
  usages: readonly Row[],
  draw: (usages: readonly Row[]) => string,
): string {
  const isWhole = usages.length <= MAXIMUM_BARS;
  const note = isWhole ? '' : `, the ${MAXIMUM_BARS} largest of ${usages.length}`;
  return renderFigure(`${label}${note}`, draw(selectLargest(usages)));
}

function renderFigure(label: string, svg: string): string {
  const labelled = svg.replace('<svg ', `<svg role="img" aria-label="${escapeHtml(label)}" `);
  return `<figure>${labelled}<figcaption>${escapeHtml(label)}</figcaption></figure>`;
}

function renderMissingPartitions({ missing }: UsagePageInput): string {
  if (missing.length === 0) return '';
  const items = missing.map(
    ({ partition, reason }) => `<li>Partition ${partition}: ${escapeHtml(reason)}</li>`,
  );
  return `<div class="warning"><p><strong>This report is not complete.</strong> These parts of the cell could
  not be read in full; create the page again later.</p><ul>${items.join('')}</ul></div>`;
}

function renderTimeRange({ from, to, createdAt }: UsagePageInput): string {
  const until = new Date(createdAt).toISOString();
  const start = from ?? 'the oldest retained hour (40 days)';
  return `<p>From ${escapeHtml(start)} to ${escapeHtml(to ?? until)}, in UTC. Made at ${until}.</p>`;
}

function renderTeamTable(usages: readonly TeamUsage[], total: Usage): string {
  const cells = usages.map((usage) => [
    usage.team,
    ...formatUsage(usage),
    usage.share === null ? '-' : String(usage.share),
    formatFraction(usage.shareFraction),
    formatFraction(usage.usedFraction),
  ]);
  const head = ['team', ...USAGE_COLUMN_TITLES, 'share', 'part by share', 'part used'];
  return renderTable('Teams', head, cells, ['total', ...formatUsage(total), '', '', '']);
}

function renderQueues(rows: readonly UsageRow[]): string {
  const usages = sumByQueue(rows);
  const cells = usages.map((usage) => [`${usage.team}, ${usage.queue}`, ...formatUsage(usage)]);
  const foot = ['total', ...formatUsage(sumUsage(rows))];
  return [
    renderBarPlot('Core hours by team and queue', usages, drawUsageByQueue),
    renderTable('Teams and queues', ['team, queue', ...USAGE_COLUMN_TITLES], cells, foot),
  ].join('\n');
}

function renderUsage(input: UsagePageInput, rows: readonly UsageRow[]): string {
  if (rows.length === 0) return '<p>Nothing was used in this time.</p>';
  const time = sumOverTime(rows);
  const teams = sumByTeam(input.rows, input.sections).filter(
    ({ team }) => input.team === undefined || team === input.team,
  );
  return [
    '<h2>By team, against its share</h2>',
    `<p>A team's share is its weight when the cell is full. Its part by share is that weight divided by the
    weights of all teams; its part used is its core hours divided by those of all teams. A team may use more than
    its part while others use less.</p>`,
    renderBarPlot('Part of all core hours, used and by share', teams, drawTeamFractions),
    renderTeamTable(teams, sumUsage(rows)),
    '<h2>By queue</h2>',
    renderQueues(rows),
    '<h2>Over time</h2>',
    renderFigure(`Core hours per ${time.unit} (UTC), by team`, drawUsageOverTime(time)),
  ].join('\n');
}

/** Renders a usage report as an HTML page. */
export function renderUsagePage(input: UsagePageInput): string {
  const { team, sections } = input;
  const { name = 'cell' } = (sections.cell ?? {}) as { readonly name?: string };
  const title = `Use of ${name}${team === undefined ? '' : ` by ${team}`}`;
  const rows = input.rows.filter((row) => team === undefined || row.team === team);
  return `<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>${escapeHtml(title)}</title>
<style>${STYLE}</style>
</head>
<body>
<h1>${escapeHtml(title)}</h1>
${renderTimeRange(input)}
${renderMissingPartitions(input)}
<h2>Units</h2>
${UNITS}
${renderUsage(input, rows)}
</body>
</html>
`;
}
