/** A completion within this multiple of the objective is late; a later one is of no use to the caller. */
const LATE_FACTOR = 3;
/**
 * Part of the estimated work of others that counts. A job is refused wrongly only if that work was estimated at more
 * than one and a half times its true amount.
 */
const COUNTED_WORK_PART = 2 / 3;
/** An older digest does not describe the present backlog, in milliseconds. */
const MAXIMUM_DIGEST_AGE_MILLISECONDS = 2_000;
/** Bounds of the time after which the caller is asked to come back, in milliseconds. */
const MINIMUM_RETRY_MILLISECONDS = 1_000;
const MAXIMUM_RETRY_MILLISECONDS = 30_000;
/** Precision of predicted times, in milliseconds. */
const PRECISION_MILLISECONDS = 50;

/** Work of one team that waits in one priority of a service. */
export interface WaitingWork {
  readonly service: string;
  /** 0 comes first. */
  readonly priority: number;
  readonly team: string;
  readonly weight: number;
  /** Maximum number of processors that the team may use; Infinity if there is no limit. */
  readonly limitProcessors: number;
  /** In processor milliseconds. */
  readonly work: number;
  /** Part of it that is of no use to its callers any more; it comes after all other work of its priority. */
  readonly overdueWork: number;
}

/** State of the backlog after a round of placement. */
export interface WorkDigest {
  /** In monotonic milliseconds. */
  readonly takenAt: number;
  readonly waiting: readonly WaitingWork[];
  /** By service: processors that no work without an end uses. */
  readonly processors: ReadonlyMap<string, number>;
}

/** Job that a caller submits; durations in milliseconds. */
export interface ArrivingJob {
  readonly service: string;
  readonly priority: number;
  readonly team: string;
  readonly weight: number;
  readonly limitProcessors: number;
  readonly objectiveMilliseconds: number;
  /** Expected run time of its longest chain of steps. */
  readonly chainMilliseconds: number;
  /** Work of all its tasks, in processor milliseconds. */
  readonly work: number;
  /** Number in [0, 1) that differs between jobs; spreads the times at which their callers come back. */
  readonly spread: number;
}

export type JobVerdict =
  | { readonly kind: 'accept'; readonly waitMilliseconds: number }
  | {
      readonly kind: 'refuse';
      /** `team-limit`: work of the team itself uses up its limit. `capacity`: other work uses the endpoints. */
      readonly reason: 'team-limit' | 'capacity';
      /** Predicted wait until the job could begin. */
      readonly waitMilliseconds: number;
      readonly retryAfterMilliseconds: number;
      /** Work of higher priority, in processor milliseconds. */
      readonly workAhead: number;
      readonly processors: number;
    };

type Demand = Pick<WaitingWork, 'team' | 'weight' | 'limitProcessors' | 'work'>;

/** @returns the counted work of each team, whose priorities share its limit */
function sumByTeam(entries: readonly WaitingWork[]): Demand[] {
  const teams = new Map<string, Demand>();
  entries.forEach(({ team, weight, limitProcessors, work }) => {
    const sum = (teams.get(team)?.work ?? 0) + work * COUNTED_WORK_PART;
    teams.set(team, { team, weight, limitProcessors, work: sum });
  });
  return [...teams.values()];
}

/** @returns work that a team can get done within a time */
function doableWork({ work, limitProcessors }: Demand, milliseconds: number): number {
  return milliseconds > 0 ? Math.min(work, limitProcessors * milliseconds) : 0;
}

function sumWork(demands: readonly Demand[]): number {
  return demands.reduce((sum, { work }) => sum + work, 0);
}

/**
 * Finds the earliest time at which teams that come first can leave room: those that are left then do not use all
 * processors at their limits. The teams with the most work for their limit are left, the last one in part.
 */
function findFirstRoom(ahead: readonly Demand[], processors: number) {
  const remaining: Demand[] = [];
  let free = processors;
  let done = sumWork(ahead);
  const ordered = [...ahead].sort(
    (left, right) => right.work / right.limitProcessors - left.work / left.limitProcessors,
  );
  for (const demand of ordered) {
    const part = Math.min(1, free / demand.limitProcessors);
    done -= part * demand.work;
    free -= part * demand.limitProcessors || 0;
    if (part < 1) break;
    remaining.push(demand);
  }
  return { at: done > 0 && processors > 0 ? done / processors : 0, remaining };
}

/** @returns part of an amount that a team gets beside others, each by its weight and at most what it demands */
function fairPart(amount: number, weight: number, rivals: readonly Demand[], time: number): number {
  const demands = rivals
    .map((rival) => ({ weight: rival.weight, amount: doableWork(rival, time) }))
    .sort((left, right) => left.amount * right.weight - right.amount * left.weight);
  let rest = amount;
  let weights = demands.reduce((sum, rival) => sum + rival.weight, weight);
  for (const rival of demands) {
    if (rival.amount * weights > rival.weight * rest) break;
    rest -= rival.amount;
    weights -= rival.weight;
  }
  return weights > 0 ? (rest * weight) / weights : rest;
}

/** @returns first time within the bound at which the condition holds, and holds from then on */
function findTime(condition: (milliseconds: number) => boolean): number {
  let low = 0;
  let high = MAXIMUM_RETRY_MILLISECONDS;
  if (condition(low)) return 0;
  while (high - low > PRECISION_MILLISECONDS) {
    const middle = (low + high) / 2;
    if (condition(middle)) high = middle;
    else low = middle;
  }
  return high;
}

/** Predicts, from the work that comes before a job in the order of placement, what the job can still reach. */
function createForecast(job: ArrivingJob, digest: WorkDigest) {
  const processors = digest.processors.get(job.service) ?? 0;
  const ofService = digest.waiting.filter(({ service }) => service === job.service);
  // Priority comes before punctuality, so that overdue work of higher priority comes first as well.
  const ahead = sumByTeam(ofService.filter(({ priority }) => priority < job.priority));
  // Work of the same team in the same priority is not counted: when it becomes late, the newest job comes first.
  const rivals = sumByTeam(
    ofService
      .filter(({ priority, team }) => priority === job.priority && team !== job.team)
      .map((entry) => ({ ...entry, work: entry.work - entry.overdueWork })),
  );
  const ownAhead = sumWork(ahead.filter(({ team }) => team === job.team));
  const weightPart = job.weight / rivals.reduce((sum, { weight }) => sum + weight, job.weight);
  const room = findFirstRoom(ahead, processors);
  const limitAt = ownAhead / job.limitProcessors;

  function left(time: number): number {
    const since = time - room.at;
    return room.remaining.reduce(
      (sum, demand) => sum - doableWork(demand, since),
      processors * since,
    );
  }

  return {
    processors,
    weightPart: Number.isFinite(weightPart) ? weightPart : 1,
    workAhead: sumWork(ahead) / COUNTED_WORK_PART,
    waitMilliseconds: Math.max(room.at, limitAt),
    /** @returns whether the limit of the team lets the job end by a time */
    fitsLimit: (time: number) =>
      limitAt <= time - job.chainMilliseconds && job.limitProcessors * (time - limitAt) >= job.work,
    /** @returns whether the endpoints let it end by a time */
    fitsCapacity: (time: number) =>
      room.at <= time - job.chainMilliseconds &&
      fairPart(left(time), job.weight, rivals, time) >= job.work,
  };
}

/**
 * Decides whether a job is accepted. It is refused only if it would end after three times its objective although
 * nothing else arrives and every estimate of the work before it is a third too high. Work that runs already, and
 * resources other than processors, are taken to be in nobody's way.
 *
 * A job that could not reach that time on idle endpoints either is accepted, since the load is not the reason.
 *
 * @param digest null if there is none
 * @param now in monotonic milliseconds
 */
export function decideAdmission(
  job: ArrivingJob,
  digest: WorkDigest | null,
  now: number,
): JobVerdict {
  const limit = LATE_FACTOR * job.objectiveMilliseconds;
  if (!digest || now - digest.takenAt > MAXIMUM_DIGEST_AGE_MILLISECONDS) {
    return { kind: 'accept', waitMilliseconds: 0 };
  }
  const forecast = createForecast(job, digest);
  const { processors, waitMilliseconds, workAhead } = forecast;
  // A job whose tasks are charged no processors waits for none.
  const isReachable =
    job.work > 0 &&
    job.chainMilliseconds < limit &&
    job.work <= limit * Math.min(processors, job.limitProcessors);
  if (!isReachable) return { kind: 'accept', waitMilliseconds };
  const fitsLimit = forecast.fitsLimit(limit);
  if (fitsLimit && forecast.fitsCapacity(limit)) return { kind: 'accept', waitMilliseconds };
  const delay = findTime(
    (time) => forecast.fitsLimit(limit + time) && forecast.fitsCapacity(limit + time),
  );
  const retry = Math.max(MINIMUM_RETRY_MILLISECONDS, delay);
  // Callers of a team with a larger part come back within a shorter time.
  const window = Math.min(MAXIMUM_RETRY_MILLISECONDS, retry * (2 - forecast.weightPart));
  return {
    kind: 'refuse',
    reason: fitsLimit ? 'capacity' : 'team-limit',
    waitMilliseconds,
    retryAfterMilliseconds: Math.round(retry + job.spread * window),
    workAhead,
    processors,
  };
}
