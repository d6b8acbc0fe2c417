import test from 'ava';

import { createEndpointSpeedEstimator } from '../core/endpointSpeedEstimator.js';
import { appendReport, judgeStraggler } from '../core/judgeStraggler.js';
import type { ProgressReport } from '../core/judgeStraggler.js';
import { createRunTimeRegression } from '../core/runTimeRegression.js';

/** Minimal standard generator, for the same draws in each run. */
function createRandomNumbers(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 16_807) % 2_147_483_647;
    return state / 2_147_483_647;
  };
}

test('times are predicted from the mean of a kind, and from estimates as far as these tell', (t) => {
  const model = createRunTimeRegression();
  t.is(model.predict('quote', 5_000), 5_000);
  const draw = createRandomNumbers(7);
  for (let index = 0; index < 400; index += 1) {
    const time = 800 * Math.exp(draw() - 0.5);
    model.record('quote', time * Math.exp(2 * (draw() - 0.5)), time);
  }
  t.true(Math.abs(model.predict('quote', 800) / 800 - 1) < 0.15);
  const high = model.predict('quote', 8_000);
  t.true(high > 800 && high < 2_400, `${high}`);
  t.is(model.predict('batch', 5_000), 5_000);
});

test('speeds are told apart within groups, also where the groups differ and runs end in order of time', (t) => {
  const speeds = createEndpointSpeedEstimator();
  const draw = createRandomNumbers(11);
  const factors = [0.8, 0.8, 1, 1, 1, 1, 1.25, 1.25];
  const playGroup = (group: number, sickFactor: number) => {
    const runs = factors.map((factor, index) => ({
      endpointId: `endpoint-${index}`,
      milliseconds:
        (200 + 100 * group) *
        factor *
        (index === 7 ? sickFactor : 1) *
        Math.exp(0.6 * (draw() - 0.5)),
    }));
    speeds.recordGroup(
      runs.sort((left, right) => left.milliseconds - right.milliseconds),
      0,
    );
  };
  for (let group = 0; group < 60; group += 1) playGroup(group, 1);
  factors.forEach((factor, index) => {
    const slowness = speeds.slowness(`endpoint-${index}`, 0);
    t.true(Math.abs(slowness / factor - 1) < 0.2, `${slowness} for ${factor}`);
  });
  playGroup(60, 6);
  playGroup(61, 6);
  t.true(speeds.slowness('endpoint-7', 0) > 2.5);
  t.true(speeds.slowness('endpoint-7', 90_000) < 1.1);
});

function judge(ageMilliseconds: number, reports: ProgressReport[], hasCheckpoint = false) {
  return judgeStraggler({ ageMilliseconds, expectedMilliseconds: 600, reports, hasCheckpoint });
}

test('a run that stands still is looked at and moved, one that is only long goes on', (t) => {
  t.is(judge(700, []), 'wait');
  t.is(judge(800, []), 'look');
  const first = [{ ageMilliseconds: 800, percent: 30 }];
  t.is(judge(820, first), 'wait');
  t.is(judge(1_100, first), 'look');
  const still = appendReport(first, { ageMilliseconds: 1_100, percent: 30 }, 600);
  t.is(judge(1_110, still), 'move');
  const long = appendReport(first, { ageMilliseconds: 1_100, percent: 42 }, 600);
  t.is(judge(1_110, long), 'wait');
  const slow = appendReport(first, { ageMilliseconds: 1_100, percent: 34 }, 600);
  t.is(judge(1_110, slow), 'move');
});

test('a run that is complete but not listed as ended yet is not moved', (t) => {
  const first = [{ ageMilliseconds: 800, percent: 100 }];
  const second = appendReport(first, { ageMilliseconds: 1_100, percent: 100 }, 600);
  t.is(judge(1_110, second), 'wait');
});

test('a report close to the last one replaces it, so that the rate is not read from a short time', (t) => {
  const first = appendReport([], { ageMilliseconds: 100, percent: 10 }, 600);
  const second = appendReport(first, { ageMilliseconds: 500, percent: 50 }, 600);
  const third = appendReport(second, { ageMilliseconds: 510, percent: 50 }, 600);
  t.deepEqual(third, [
    { ageMilliseconds: 100, percent: 10 },
    { ageMilliseconds: 510, percent: 50 },
  ]);
});
