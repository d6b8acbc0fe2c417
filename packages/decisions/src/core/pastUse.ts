/** How past use affects the order of waiting work. */
export interface PastUseSettings {
  /** Time after which use counts half, in milliseconds. */
  readonly halfLifeMilliseconds: number;
  /** Growth of the factor for each fair share that a team has used beyond its own. */
  readonly weight: number;
  /** Maximum of the factor, at least 1. */
  readonly cap: number;
}

/** Dominant share of a team over a period. */
export interface TeamShareSample {
  readonly team: string;
  readonly share: number;
  /** Whether the use is charged, because another team waits for room. */
  readonly isCharged: boolean;
}

/** Past use of a team as stored. */
export interface StoredTeamUse {
  readonly use: number;
  readonly isCharged: boolean;
}

/** Past use of all teams up to a stated time. */
export interface PastUseRecord {
  /** Wall-clock time up to which use is contained, in milliseconds since the Unix epoch. */
  readonly until: number;
  readonly teams: ReadonlyMap<string, StoredTeamUse>;
}

/** Past use of teams: the mean of their charged dominant shares, in which older shares weigh less. */
export interface PastUse {
  /**
   * Charges the shares for the time since the last call or since {@link PastUse.restore}, and decays what was used
   * before. A team without a sample has used nothing.
   *
   * @param now monotonic time in milliseconds
   */
  account(now: number, samples: readonly TeamShareSample[]): void;
  /**
   * Takes over a record; replaces all use.
   *
   * @param now monotonic time in milliseconds, from which on {@link PastUse.account} charges
   * @param ageMilliseconds time from the end of the record until now
   * @param shares mean dominant shares by team over the counted part of that time
   */
  restore(
    now: number,
    record: PastUseRecord,
    ageMilliseconds: number,
    shares: ReadonlyMap<string, number>,
  ): void;
  /** @returns past use of a team: 0 for none, 1 for the whole capacity all the time */
  useOf(team: string): number;
  /** @returns teams with past use and their use, the largest first */
  uses(): readonly (readonly [team: string, use: number])[];
  /** @returns record of the state after the last call of `account` or `restore` */
  record(until: number): PastUseRecord;
}

/** Number of teams whose use is kept; those that have used least are forgotten first. */
const MAXIMUM_TEAMS = 256;
/** Use below this is forgotten. It is a small fraction of the share of a team among thousands. */
const NEGLIGIBLE_USE = 1e-6;
/** Use between a record and its recovery is counted for at most this time, which a wall clock set forward may feign. */
export const MAXIMUM_COUNTED_GAP_MILLISECONDS = 30_000;
const MINIMUM_ENTITLEMENT = 1e-9;
const RECORD_VERSION = 1;
const SIGNIFICANT_DIGITS = 6;

/**
 * Computes the factor on the weighted share of a team in the order of waiting work.
 *
 * @param use past use of the team
 * @param entitlement weight of the team divided by the weights of all teams
 * @returns 1 for a team that has used at most its fair share; at most the cap
 */
export function computePastUseFactor(
  use: number,
  entitlement: number,
  { weight, cap }: PastUseSettings,
): number {
  const fairShares = use / Math.max(entitlement, MINIMUM_ENTITLEMENT);
  return Math.min(cap, 1 + weight * Math.max(0, fairShares - 1));
}

/** Creates a state without past use; {@link PastUse.restore} must precede the first call of `account`. */
export function createPastUse({
  halfLifeMilliseconds,
}: Pick<PastUseSettings, 'halfLifeMilliseconds'>): PastUse {
  let accountedAt = 0;
  let teams = new Map<string, StoredTeamUse>();

  /** @returns fraction that is left of use after a time, in milliseconds */
  const remainingFraction = (milliseconds: number) =>
    2 ** (-Math.max(0, milliseconds) / halfLifeMilliseconds);

  function keepLargest(next: Map<string, StoredTeamUse>): void {
    const kept = [...next].filter(([, { use, isCharged }]) => isCharged || use >= NEGLIGIBLE_USE);
    if (kept.length > MAXIMUM_TEAMS) kept.sort(([, left], [, right]) => right.use - left.use);
    teams = new Map(kept.slice(0, MAXIMUM_TEAMS));
  }

  return {
    account(now, samples) {
      const remaining = remainingFraction(now - accountedAt);
      accountedAt = Math.max(accountedAt, now);
      const next = new Map<string, StoredTeamUse>();
      teams.forEach(({ use }, team) => next.set(team, { use: use * remaining, isCharged: false }));
      samples.forEach(({ team, share, isCharged }) => {
        const use = (next.get(team)?.use ?? 0) + (isCharged ? share * (1 - remaining) : 0);
        next.set(team, { use, isCharged });
      });
      keepLargest(next);
    },
    restore(now, record, ageMilliseconds, shares) {
      accountedAt = now;
      const remaining = remainingFraction(ageMilliseconds);
      const counted =
        1 - remainingFraction(Math.min(ageMilliseconds, MAXIMUM_COUNTED_GAP_MILLISECONDS));
      const next = new Map<string, StoredTeamUse>();
      record.teams.forEach(({ use, isCharged }, team) => {
        const added = isCharged ? (shares.get(team) ?? 0) * counted : 0;
        next.set(team, { use: use * remaining + added, isCharged });
      });
      keepLargest(next);
    },
    useOf: (team) => teams.get(team)?.use ?? 0,
    uses: () =>
      [...teams]
        .map(([team, { use }]) => [team, use] as const)
        .sort(([, left], [, right]) => right - left),
    record: (until) => ({ until, teams }),
  };
}

/**
 * Encodes a record; leaves out the teams with the least use if the text would become too long.
 *
 * @param maximumBytes maximum size of the text in UTF-8
 */
export function encodePastUse({ until, teams }: PastUseRecord, maximumBytes: number): string {
  const entries = [...teams].sort(([, left], [, right]) => right.use - left.use);
  const encode = (count: number) =>
    JSON.stringify({
      version: RECORD_VERSION,
      until: Math.round(until),
      teams: entries
        .slice(0, count)
        .map(([team, { use, isCharged }]) => [
          team,
          Number(use.toPrecision(SIGNIFICANT_DIGITS)),
          isCharged,
        ]),
    });
  let count = entries.length;
  let text = encode(count);
  while (count > 0 && Buffer.byteLength(text) > maximumBytes) {
    count = Math.floor(count / 2);
    text = encode(count);
  }
  return text;
}

function isStoredEntry(value: unknown): value is [string, number, boolean] {
  if (!Array.isArray(value)) return false;
  const [team, use, isCharged] = value as unknown[];
  return (
    typeof team === 'string' &&
    typeof use === 'number' &&
    Number.isFinite(use) &&
    use >= 0 &&
    typeof isCharged === 'boolean'
  );
}

/** @returns the record; null if the text is not one, or one of another version */
export function parsePastUse(text: string): PastUseRecord | null {
  let document: unknown;
  try {
    document = JSON.parse(text);
  } catch {
    return null;
  }
  const { version, until, teams } = (document ?? {}) as Record<string, unknown>;
  const isRecord =
    version === RECORD_VERSION &&
    typeof until === 'number' &&
    Array.isArray(teams) &&
    teams.every(isStoredEntry);
  if (!isRecord) return null;
  return {
    until,
    teams: new Map(teams.map(([team, use, isCharged]) => [team, { use, isCharged }])),
  };
}
