import test from 'ava';

import {
  classifyLoss,
  discardOutlivedLosses,
  hasCommonCause,
  isRecentStart,
  judgeCrashes,
  maximumTrialEndpoints,
  trialMillisecondsFor,
} from '../index.js';
import type { LossCertainty, LossRole, LostEndpoint } from '../index.js';

function createLoss(role: LossRole, certainty: LossCertainty = 'executing', age = 10) {
  const isKnown = certainty === 'executing' || certainty === 'crashed';
  const maximumAgeMilliseconds = isKnown ? age : Infinity;
  return { run: 1, role, certainty, ageMilliseconds: age, maximumAgeMilliseconds, at: 0 };
}

function createLost(index: number, changes: Partial<LostEndpoint> = {}): LostEndpoint {
  return {
    endpointId: `endpoint-${index}`,
    rack: `rack-${index}`,
    at: 1_000,
    isExplained: false,
    recentJobs: new Map(),
    ...changes,
  };
}

test('a loss is attributed to runs on trial before others, and else to those that have just begun', (t) => {
  const alone = { isCommon: false, hasTrial: false, isUnreliable: false };
  const fresh = { ageMilliseconds: 10, isOnTrial: false };
  const trial = { ageMilliseconds: 10, isOnTrial: true };
  t.is(classifyLoss(fresh, alone), 'shared');
  t.is(classifyLoss({ ...fresh, ageMilliseconds: 60_000 }, alone), 'bystander');
  t.is(classifyLoss(trial, { ...alone, hasTrial: true }), 'sole');
  t.is(classifyLoss(trial, { ...alone, hasTrial: true, isUnreliable: true }), 'unreliable');
  t.is(classifyLoss(fresh, { ...alone, hasTrial: true }), 'common');
  t.is(classifyLoss(trial, { ...alone, hasTrial: true, isCommon: true }), 'common');
  t.deepEqual([10, 60_000].map(isRecentStart), [true, false]);
});

test('a task is given up only if it was certainly executing at two losses, on trial at the last', (t) => {
  t.is(judgeCrashes([]), 'unsuspected');
  t.is(judgeCrashes([createLoss('sole')]), 'suspect');
  t.is(judgeCrashes([createLoss('shared'), createLoss('shared')]), 'suspect');
  t.is(judgeCrashes([createLoss('sole'), createLoss('shared')]), 'suspect');
  t.is(judgeCrashes([createLoss('shared'), createLoss('sole', 'silent')]), 'suspect');
  t.is(judgeCrashes([createLoss('shared', 'crashed'), createLoss('sole')]), 'suspect');
  t.is(judgeCrashes([createLoss('shared'), createLoss('sole')]), 'guilty');
});

test('losses with another cause raise no suspicion, and one loss of a bystander does not either', (t) => {
  t.is(judgeCrashes([createLoss('common')]), 'unsuspected');
  t.is(
    judgeCrashes([createLoss('common', 'silent'), createLoss('common', 'silent')]),
    'unsuspected',
  );
  t.is(judgeCrashes([createLoss('bystander')]), 'unsuspected');
  t.is(judgeCrashes([createLoss('bystander'), createLoss('bystander')]), 'suspect');
  t.is(judgeCrashes([createLoss('common'), createLoss('sole')]), 'suspect');
});

test('an unreliable endpoint takes one more loss, and many losses suffice without a trial', (t) => {
  const unreliable = createLoss('unreliable');
  t.is(judgeCrashes([createLoss('shared'), unreliable]), 'suspect');
  t.is(judgeCrashes([createLoss('shared'), unreliable, unreliable]), 'guilty');
  const bystander = createLoss('bystander');
  t.is(judgeCrashes([bystander, bystander, bystander]), 'suspect');
  t.is(judgeCrashes([bystander, bystander, bystander, bystander]), 'guilty');
});

test('a task is given up after three unproven crashes on trial, or four crashes, not after fewer', (t) => {
  const unproven = createLoss('sole', 'crashed');
  t.is(judgeCrashes([createLoss('shared', 'crashed'), unproven, unproven]), 'suspect');
  t.is(judgeCrashes([unproven, unproven, unproven]), 'guilty');
  const crash = createLoss('shared', 'crashed');
  t.is(judgeCrashes([crash, crash, crash]), 'suspect');
  t.is(judgeCrashes([crash, crash, crash, crash]), 'guilty');
});

test('a trial outlasts the ages at which endpoints were lost, within bounds', (t) => {
  t.is(trialMillisecondsFor([]), 250);
  t.true(trialMillisecondsFor([createLoss('shared', 'executing', 400)]) >= 800);
  t.is(trialMillisecondsFor([createLoss('bystander', 'executing', 60_000)]), 2_500);
  t.is(trialMillisecondsFor([createLoss('common', 'executing', 60_000)]), 250);
});

test('a run clears its task by outliving all losses by far, and for some time', (t) => {
  const losses = [
    createLoss('shared', 'executing', 10),
    createLoss('bystander', 'executing', 8_000),
  ];
  t.deepEqual(discardOutlivedLosses(losses, 60_000), []);
  t.is(discardOutlivedLosses(losses, 12_000), losses);
  t.is(discardOutlivedLosses([losses[0]!], 1_000).length, 1);
});

test('losses at once have a common cause, fewer of one rack, and not those that a trial explains', (t) => {
  const [first, second, third] = [createLost(0), createLost(1), createLost(2)];
  t.false(hasCommonCause(first, [first]));
  t.false(hasCommonCause(first, [first, second]));
  t.true(hasCommonCause(first, [first, second, third]));
  t.true(hasCommonCause(first, [first, { ...second, rack: first.rack }]));
  t.false(hasCommonCause(first, [first, second, { ...third, at: first.at + 5_000 }]));
  t.false(hasCommonCause(first, [first, second, { ...third, isExplained: true }]));
});

test('endpoints that are lost with a job that had just begun there and on few others have no common cause', (t) => {
  const lostOf = (endpoints: number) =>
    [0, 1, 2].map((index) => createLost(index, { recentJobs: new Map([['job', endpoints]]) }));
  t.false(hasCommonCause(lostOf(3)[0]!, lostOf(3)));
  t.true(hasCommonCause(lostOf(12)[0]!, lostOf(12)), 'the job survives on most of its endpoints');
});

test('a step may have one more endpoint on trial with each run that has passed', (t) => {
  t.deepEqual([0, 1, 5].map(maximumTrialEndpoints), [1, 2, 6]);
});

test('a crash at an unknown age counts as one at the known age of the others', (t) => {
  const old = createLoss('bystander', 'crashed', 4_800);
  const unknown = createLoss('common', 'unconfirmed', 300);
  t.is(judgeCrashes([old, unknown, unknown, unknown, old]), 'suspect');
  const young = createLoss('bystander', 'crashed', 1_200);
  t.is(judgeCrashes([young, unknown, young]), 'suspect');
  t.is(judgeCrashes([young, unknown, unknown, young]), 'guilty');
});

test('four crashes give a task up if two of them have a known age or a run on trial, else five', (t) => {
  const unknown = createLoss('common', 'unconfirmed', 300);
  const alone = createLoss('sole', 'unconfirmed', 300);
  const known = createLoss('common', 'executing', 400);
  t.is(judgeCrashes([unknown, unknown, unknown, known]), 'unsuspected');
  t.is(judgeCrashes([unknown, unknown, unknown, unknown, known]), 'guilty');
  t.is(judgeCrashes([unknown, unknown, known, alone]), 'guilty');
});

test('crashes at unknown ages alone give a task up after five, also on trial', (t) => {
  const alone = createLoss('sole', 'unconfirmed', 0);
  t.is(judgeCrashes([alone, alone, alone, alone]), 'suspect');
  t.is(judgeCrashes([alone, alone, alone, alone, alone]), 'guilty');
});

test('a run of unknown age is no older than the time since its start', (t) => {
  const early = { ...createLoss('shared', 'unconfirmed', 0), maximumAgeMilliseconds: 3_000 };
  const late = createLoss('sole', 'unconfirmed', 8_600);
  t.is(judgeCrashes([early, late, late]), 'suspect');
  t.is(judgeCrashes([early, early, late, late]), 'suspect');
  const known = createLoss('bystander', 'executing', 3_900);
  t.is(judgeCrashes([early, known, early, known]), 'suspect');
  t.is(
    judgeCrashes([
      early,
      { ...known, ageMilliseconds: 2_900 },
      early,
      { ...known, ageMilliseconds: 2_900 },
    ]),
    'guilty',
  );
});

test('endpoints that fall silent give no task up, as many as there are, and add nothing to a crash', (t) => {
  for (const certainty of ['silent', 'disconnected', 'unreachable'] as const) {
    const silent = createLoss('sole', certainty);
    const losses = Array.from({ length: 20 }, () => silent);
    t.is(judgeCrashes(losses), 'suspect');
    t.is(judgeCrashes([...losses, createLoss('sole')]), 'suspect');
    t.is(judgeCrashes([createLoss('sole', 'crashed'), ...losses]), 'suspect');
    t.is(judgeCrashes([createLoss('common', 'crashed'), ...losses]), 'suspect');
    t.is(judgeCrashes([createLoss('shared'), ...losses, createLoss('sole')]), 'guilty');
  }
});

test('crashes at different ages of its runs give no task up, as many as there are', (t) => {
  const losses = [300, 1_500, 7_200, 40, 3_900].map((age) =>
    createLoss('common', 'executing', age),
  );
  t.is(judgeCrashes(losses), 'unsuspected');
  const bystanders = [1_200, 18_000, 5_000, 9_000].map((age) =>
    createLoss('bystander', 'executing', age),
  );
  t.is(judgeCrashes(bystanders), 'suspect');
  t.is(judgeCrashes([...bystanders.slice(0, 2), createLoss('sole', 'executing', 400)]), 'suspect');
});

test('losses with a common cause give no task up that ran well for longer than a trial', (t) => {
  const late = createLoss('common', 'executing', 3_500);
  t.is(judgeCrashes([late, late, late, late, late]), 'unsuspected');
  const early = createLoss('common', 'executing', 10);
  t.is(judgeCrashes([early, early, early]), 'unsuspected');
  t.is(judgeCrashes([early, early, early, early]), 'guilty');
});

test('crashes with an unconfirmed run take one more to give a task up', (t) => {
  const unconfirmed = createLoss('shared', 'unconfirmed', 0);
  t.is(judgeCrashes([unconfirmed, unconfirmed, unconfirmed, createLoss('shared')]), 'suspect');
  const losses = [unconfirmed, unconfirmed, createLoss('shared'), createLoss('shared')];
  t.is(judgeCrashes(losses), 'guilty');
});

test('two further crashes on trial suffice if the task was certainly executing at one of them', (t) => {
  const first = createLoss('shared', 'unconfirmed');
  const trial = createLoss('sole', 'unconfirmed');
  t.is(judgeCrashes([first, trial, trial]), 'suspect');
  t.is(judgeCrashes([first, trial, createLoss('sole')]), 'guilty');
  t.is(judgeCrashes([first, trial, createLoss('unreliable')]), 'suspect');
});
