/** Sums of a usage report in the units of billing: core, GiB and accelerator hours. */
import { sectionKindOf } from '@chicorybend/common';
import type { ConfigurationDocument, TeamsSection } from '@chicorybend/common';

const HOUR_MILLISECONDS = 3_600_000;
const DAY_HOURS = 24;
const SECONDS_PER_HOUR = 3_600;
const BYTES_PER_GIBIBYTE = 1_073_741_824;
/** Longer reports are summed by day, since more bars are indistinguishable. */
const MAXIMUM_HOUR_BARS = 96;
/** More colours are indistinguishable. */
const MAXIMUM_TEAMS_OVER_TIME = 7;
const OTHER_TEAMS = 'other teams';

/** One row of `GET /v1/usage`. */
export interface UsageRow {
  readonly team: string;
  readonly queue: string;
  /** Start of the hour, in milliseconds since the Unix epoch. */
  readonly hour: number;
  readonly processorSeconds: number;
  readonly memoryByteSeconds: number;
  readonly acceleratorSeconds: number;
  readonly tasks: number;
}

/** Usage in the units of billing. */
export interface Usage {
  readonly coreHours: number;
  readonly gibibyteHours: number;
  readonly acceleratorHours: number;
  readonly tasks: number;
}

/** Usage of one team in one queue. */
export interface QueueUsage extends Usage {
  readonly team: string;
  readonly queue: string;
}

/** Usage of a team compared with its share. */
export interface TeamUsage extends Usage {
  readonly team: string;
  /** Weight from the configuration; null if the team is no longer configured. */
  readonly share: number | null;
  /** Weight divided by the weights of all teams. */
  readonly shareFraction: number;
  /** Core hours divided by those of all teams. */
  readonly usedFraction: number;
}

/** Core hours per team for each hour or day of a report. */
export interface UsageOverTime {
  readonly unit: 'hour' | 'day';
  /** Start times of the consecutive intervals, in milliseconds since the Unix epoch. */
  readonly starts: readonly number[];
  readonly series: readonly { readonly team: string; readonly coreHours: readonly number[] }[];
}

export function sumUsage(rows: readonly UsageRow[]): Usage {
  const sum = (valueOf: (row: UsageRow) => number): number =>
    rows.reduce((total, row) => total + valueOf(row), 0);
  return {
    coreHours: sum((row) => row.processorSeconds) / SECONDS_PER_HOUR,
    gibibyteHours: sum((row) => row.memoryByteSeconds) / BYTES_PER_GIBIBYTE / SECONDS_PER_HOUR,
    acceleratorHours: sum((row) => row.acceleratorSeconds) / SECONDS_PER_HOUR,
    tasks: sum((row) => row.tasks),
  };
}

function groupRows(
  rows: readonly UsageRow[],
  keyOf: (row: UsageRow) => string,
): ReadonlyMap<string, readonly UsageRow[]> {
  const groups = new Map<string, UsageRow[]>();
  rows.forEach((row) => {
    const group = groups.get(keyOf(row));
    if (group) group.push(row);
    else groups.set(keyOf(row), [row]);
  });
  return groups;
}

/** Sums a report by team and queue, in descending order of core hours. */
export function sumByQueue(rows: readonly UsageRow[]): readonly QueueUsage[] {
  const groups = groupRows(rows, ({ team, queue }) => JSON.stringify([team, queue]));
  return [...groups.values()]
    .flatMap((group) =>
      group.slice(0, 1).map(({ team, queue }) => ({ team, queue, ...sumUsage(group) })),
    )
    .sort((left, right) => right.coreHours - left.coreHours);
}

/**
 * Sums a report by team and compares it with the teams' shares, sorted by team name. Configured teams without usage are
 * included.
 *
 * @param rows rows of all teams
 */
export function sumByTeam(
  rows: readonly UsageRow[],
  sections: ConfigurationDocument,
): readonly TeamUsage[] {
  const teams = Object.entries(sections)
    .filter(([name]) => sectionKindOf(name) === 'teams')
    .map(([, content]) => content as TeamsSection)
    .reduce<TeamsSection>((all, content) => ({ ...all, ...content }), {});
  const groups = groupRows(rows, ({ team }) => team);
  const names = [...new Set([...Object.keys(teams), ...groups.keys()])].sort();
  const shares = Object.values(teams).reduce((sum, { share }) => sum + share, 0);
  const total = sumUsage(rows).coreHours;
  return names.map((team) => {
    const share = teams[team]?.share ?? null;
    const usage = sumUsage(groups.get(team) ?? []);
    return {
      team,
      ...usage,
      share,
      shareFraction: shares > 0 ? (share ?? 0) / shares : 0,
      usedFraction: total > 0 ? usage.coreHours / total : 0,
    };
  });
}

function listIntervalStarts(
  rows: readonly UsageRow[],
  intervalMilliseconds: number,
): readonly number[] {
  const starts = rows.map(
    ({ hour }) => Math.floor(hour / intervalMilliseconds) * intervalMilliseconds,
  );
  const first = starts.reduce((least, start) => Math.min(least, start), Infinity);
  const last = starts.reduce((most, start) => Math.max(most, start), -Infinity);
  const count = starts.length === 0 ? 0 : (last - first) / intervalMilliseconds + 1;
  return Array.from({ length: count }, (_, index) => first + index * intervalMilliseconds);
}

function selectLargestTeams(rows: readonly UsageRow[]): ReadonlySet<string> {
  const teams = [...groupRows(rows, ({ team }) => team)].map(
    ([team, teamRows]) => [team, sumUsage(teamRows).coreHours] as const,
  );
  const sorted = teams.sort(([, left], [, right]) => right - left);
  return new Set(sorted.slice(0, MAXIMUM_TEAMS_OVER_TIME).map(([team]) => team));
}

/**
 * Sums core hours by hour, or by day for a long report. The largest teams have a series each, all others one together.
 */
export function sumOverTime(rows: readonly UsageRow[]): UsageOverTime {
  const isHourly = listIntervalStarts(rows, HOUR_MILLISECONDS).length <= MAXIMUM_HOUR_BARS;
  const intervalMilliseconds = isHourly ? HOUR_MILLISECONDS : HOUR_MILLISECONDS * DAY_HOURS;
  const starts = listIntervalStarts(rows, intervalMilliseconds);
  const largest = selectLargestTeams(rows);
  const byTeam = groupRows(rows, ({ team }) => (largest.has(team) ? team : OTHER_TEAMS));
  const series = [...byTeam.keys()].sort().map((team) => {
    const byStart = groupRows(byTeam.get(team) ?? [], ({ hour }) =>
      String(Math.floor(hour / intervalMilliseconds) * intervalMilliseconds),
    );
    return {
      team,
      coreHours: starts.map((start) => sumUsage(byStart.get(String(start)) ?? []).coreHours),
    };
  });
  return { unit: isHourly ? 'hour' : 'day', starts, series };
}
