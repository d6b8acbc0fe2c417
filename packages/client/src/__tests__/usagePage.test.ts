import test from 'ava';

import { EXIT_CODES } from '../index.js';
import { renderUsagePage } from '../core/usagePage.js';
import { sumByQueue, sumByTeam, sumOverTime, sumUsage } from '../core/usageSummary.js';
import type { UsageRow } from '../core/usageSummary.js';
import { createClientCell } from './clientCell.js';

const HOUR_MILLISECONDS = 3_600_000;
const START = Date.UTC(2026, 2, 1);
const SECTIONS = {
  cell: { name: 'coldline' },
  teams: { harbour: { share: 3 }, sorting: { share: 1 }, idle: { share: 4 } },
};

function createRow(team: string, queue: string, hours: number, coreHours: number): UsageRow {
  return {
    team,
    queue,
    hour: START + hours * HOUR_MILLISECONDS,
    processorSeconds: coreHours * 3_600,
    memoryByteSeconds: coreHours * 3_600 * 2 ** 31,
    acceleratorSeconds: 0,
    tasks: 2,
  };
}

const ROWS = [
  createRow('harbour', 'quotes', 0, 1.5),
  createRow('sorting', 'lots', 0, 0.5),
  createRow('harbour', 'quotes', 3, 1),
  createRow('former', 'lots', 3, 1),
];

function createPage(team?: string, rows: readonly UsageRow[] = ROWS): string {
  return renderUsagePage({ rows, team, sections: SECTIONS, missing: [], createdAt: START });
}

test('sums are in hours, and fractions refer to the whole cell', (t) => {
  t.deepEqual(sumUsage(ROWS), { coreHours: 4, gibibyteHours: 8, acceleratorHours: 0, tasks: 8 });
  const teams = sumByTeam(ROWS, SECTIONS).map(({ team, share, shareFraction, usedFraction }) => [
    team,
    share,
    shareFraction,
    usedFraction,
  ]);
  t.deepEqual(teams, [
    ['former', null, 0, 0.25],
    ['harbour', 3, 3 / 8, 2.5 / 4],
    ['idle', 4, 4 / 8, 0],
    ['sorting', 1, 1 / 8, 0.5 / 4],
  ]);
  t.deepEqual(
    sumByQueue(ROWS).map(({ team, coreHours }) => [team, coreHours]),
    [
      ['harbour', 2.5],
      ['former', 1],
      ['sorting', 0.5],
    ],
  );
});

test('intervals without usage are included, and a long report is summed by day', (t) => {
  const short = sumOverTime(ROWS);
  t.is(short.unit, 'hour');
  t.is(short.starts.length, 4);
  t.deepEqual(short.series.find(({ team }) => team === 'harbour')?.coreHours, [1.5, 0, 0, 1]);
  const long = sumOverTime([...ROWS, createRow('harbour', 'quotes', 20 * 24 + 5, 7)]);
  t.is(long.unit, 'day');
  t.is(long.starts.length, 21);
  t.is(long.series.find(({ team }) => team === 'harbour')?.coreHours.at(-1), 7);
});

/** Guards against unreadable plots in a cell with hundreds of teams. */
test('plots show the largest teams and queues, tables show all', (t) => {
  const rows = Array.from({ length: 300 }, (_, index) =>
    createRow(`team-${String(index).padStart(3, '0')}`, 'quotes', 0, index + 1),
  );
  const { series } = sumOverTime(rows);
  t.is(series.length, 8);
  t.is(series.find(({ team }) => team === 'other teams')?.coreHours[0], (293 * 294) / 2);
  const page = createPage(undefined, rows);
  t.regex(page, /Core hours by team and queue, the 20 largest of 300/);
  t.is(page.match(/<td>team-\d+<\/td>/g)?.length, 300);
  t.true(page.length < 300_000, String(page.length));
});

/** Guards against a page with external resources, which readers outside the operators' network cannot load. */
test('the page is self-contained and shows totals, units and shares', (t) => {
  const page = createPage();
  const withoutNames = page.replaceAll(/xmlns(:\w+)?="[^"]*"/g, '');
  t.notRegex(withoutNames, /https?:|<script|<link|<img|@import|url\(|\bsrc=|\bhref=/i);
  t.is(page.match(/<svg /g)?.length, 3);
  t.true(page.includes('Use of coldline'));
  t.regex(page, /<strong>core hour<\/strong>: one processor core, reserved for one hour/);
  t.regex(page, /<td>harbour<\/td><td>2\.50<\/td>.*<td>3<\/td><td>37\.5%<\/td><td>62\.5%<\/td>/);
  t.regex(page, /<tfoot><tr><td>total<\/td><td>4\.00<\/td><td>8\.00<\/td>/);
});

test("a team's page shows no other team, and fractions of the whole cell", (t) => {
  const page = createPage('harbour');
  t.regex(page, /<td>62\.5%<\/td>/);
  t.notRegex(page, /sorting|former|idle/);
  t.regex(createPage('harbour', []), /Nothing was used in this time/);
});

test('names are escaped, and the page lists missing partitions', (t) => {
  const page = renderUsagePage({
    rows: [createRow('<b>x', 'a"b', 0, 1)],
    sections: SECTIONS,
    missing: [{ partition: 3, reason: 'Daemon <a> is unreachable.' }],
    createdAt: START,
  });
  t.notRegex(page, /<b>|<a>/);
  t.regex(page, /This report is not complete.*\n?.*Partition 3: Daemon &lt;a&gt; is unreachable/s);
});

test('"usage --format html" writes the page to a file', async (t) => {
  const cell = await createClientCell(t);
  const run = await cell.run('usage', '--format', 'html', '--output', 'usage.html');
  t.is(run.exitCode, EXIT_CODES.success, run.errors);
  t.is(run.output, 'Wrote usage.html.');
  t.regex(cell.files.get('usage.html') ?? '', /<td>harbour<\/td><td>1\.00<\/td>/);
  t.is((await cell.run('usage', '--output', 'a')).exitCode, EXIT_CODES.usage);
  t.is((await cell.run('usage', '--format', 'pdf')).exitCode, EXIT_CODES.usage);
});
