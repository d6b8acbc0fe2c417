import { build as createHistogram } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';

import { createSystemClock, sleep } from '@chicorybend/common';
import type { Failure, InteractiveResponse, Result } from '@chicorybend/common';

import type { PoolRequest } from '../core/trackedRequest.js';
import { createPoolRequest } from '../__tests__/interactiveStubs.js';

/** Requests that arrive at a rate, whatever becomes of the earlier ones. */
export interface OpenLoad {
  /** Requests per second. */
  readonly rate: number;
  readonly milliseconds: number;
  readonly deadlineMilliseconds: number;
  /** Whether the pool learns the callers' deadlines. */
  readonly isDeadlineKnown: boolean;
  execute(work: PoolRequest): Promise<Result<InteractiveResponse, Failure>>;
}

/** What became of the requests of a load. */
export interface LoadOutcome {
  /** Time from the arrival to the start at an endpoint, of answered requests, in microseconds. */
  readonly waits: Histogram;
  /** Requests answered within the caller's deadline, per second. */
  readonly goodput: number;
  readonly arrived: number;
  readonly refused: number;
  /** Requests with an unknown outcome. */
  readonly unknown: number;
  /** Requests that were refused as not run although an endpoint had received them. */
  readonly falseRefusals: number;
}

/** When requests arrived at an endpoint, by request id; monotonic milliseconds. */
export type ArrivalTimes = Map<string, number>;

const MICROSECONDS = 1_000;
const MILLISECONDS_PER_SECOND = 1_000;
const BASELINE_DEADLINE_MILLISECONDS = 60_000;
const clock = createSystemClock();

/** Time to the next arrival of a Poisson process, in milliseconds. */
function drawInterarrivalMilliseconds(rate: number): number {
  return (-Math.log(1 - Math.random()) / rate) * MILLISECONDS_PER_SECOND;
}

/**
 * Runs an open load and waits for all of its requests.
 *
 * @param load rate, duration and what takes the requests
 * @param arrivals when requests arrived at the endpoints
 * @returns waits and goodput
 */
export async function runOpenLoad(load: OpenLoad, arrivals: ArrivalTimes): Promise<LoadOutcome> {
  const waits = createHistogram();
  const running: Promise<void>[] = [];
  let answeredInTime = 0;
  let refused = 0;
  let unknown = 0;
  let falseRefusals = 0;

  async function sendRequest(): Promise<void> {
    const arrivedAt = clock.monotonicMilliseconds();
    const poolDeadlineMilliseconds = load.isDeadlineKnown
      ? load.deadlineMilliseconds
      : BASELINE_DEADLINE_MILLISECONDS;
    const work = createPoolRequest(clock, { deadlineAt: arrivedAt + poolDeadlineMilliseconds });
    const outcome = await load.execute(work);
    const startedAt = arrivals.get(work.requestId);
    if (outcome.isErr()) {
      const isNotRun = outcome.error.run === 'not-run';
      if (isNotRun) refused += 1;
      else unknown += 1;
      if (isNotRun && startedAt !== undefined) falseRefusals += 1;
      return;
    }
    waits.recordValue(Math.max(1, ((startedAt ?? arrivedAt) - arrivedAt) * MICROSECONDS));
    if (clock.monotonicMilliseconds() - arrivedAt <= load.deadlineMilliseconds) answeredInTime += 1;
  }

  const startedAt = clock.monotonicMilliseconds();
  let nextAt = startedAt;
  while (clock.monotonicMilliseconds() - startedAt < load.milliseconds) {
    while (nextAt <= clock.monotonicMilliseconds()) {
      running.push(sendRequest());
      nextAt += drawInterarrivalMilliseconds(load.rate);
    }
    await sleep(clock, 1);
  }
  await Promise.all(running);
  const goodput = (answeredInTime / load.milliseconds) * MILLISECONDS_PER_SECOND;
  return { waits, goodput, arrived: running.length, refused, unknown, falseRefusals };
}
