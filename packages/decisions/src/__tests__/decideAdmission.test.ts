import test from 'ava';

import { decideAdmission } from '../index.js';
import type { ArrivingJob, WaitingWork, WorkDigest } from '../index.js';

const JOB: ArrivingJob = {
  service: 'ledger',
  priority: 1,
  team: 'mills',
  weight: 1,
  limitProcessors: Infinity,
  objectiveMilliseconds: 1_000,
  chainMilliseconds: 500,
  work: 1_000,
  spread: 0,
};
/** With 10 processors, 60,000 of work ahead count as 4 s. */
const AHEAD: WaitingWork = {
  service: 'ledger',
  priority: 0,
  team: 'clerks',
  weight: 1,
  limitProcessors: Infinity,
  work: 60_000,
  overdueWork: 0,
};

function digestOf(...waiting: WaitingWork[]): WorkDigest {
  return { takenAt: 0, waiting, processors: new Map([['ledger', 10]]) };
}

function decide(job: Partial<ArrivingJob>, ...waiting: Partial<WaitingWork>[]) {
  const digest = digestOf(...waiting.map((entry) => ({ ...AHEAD, ...entry })));
  const verdict = decideAdmission({ ...JOB, ...job }, digest, 0);
  return verdict.kind === 'refuse' ? verdict.reason : verdict.kind;
}

test('a job is refused if work of higher priority takes the endpoints beyond three times its objective', (t) => {
  t.is(decide({}, {}), 'capacity');
  t.is(decide({}, { overdueWork: 60_000 }), 'capacity', 'priority comes before punctuality');
  t.is(decide({}, { work: 36_000 }), 'accept', 'it ends in time if the work is a third less');
  t.is(decide({ objectiveMilliseconds: 2_000 }, {}), 'accept');
});

test('work that does not come before a job does not have it refused', (t) => {
  t.is(decide({}, { priority: 2 }), 'accept', 'lower priority');
  t.is(decide({}, { service: 'other' }), 'accept', 'other endpoints');
  t.is(decide({}, { limitProcessors: 8 }), 'accept', 'the limit of the other team leaves room');
  const limited = { limitProcessors: 9, work: 900_000 };
  t.is(decide({}, limited, { team: 'desk', work: 15_000 }), 'accept', 'room after 1 s');
  t.is(decide({}, limited, { team: 'desk', work: 45_000 }), 'capacity', 'room after 3 s');
  t.is(decide({}, { priority: 1, team: 'mills' }), 'accept', 'older work of its own team');
  t.is(decide({ work: 16_000 }, { priority: 1 }), 'capacity', 'other team, on time');
  t.is(decide({ work: 16_000 }, { priority: 1, overdueWork: 60_000 }), 'accept', 'overdue');
  t.is(decide({ work: 14_000 }, { priority: 1 }), 'accept', 'half of the endpoints are its own');
  const small = ['a', 'b', 'c'].map((team) => ({ priority: 1, team, work: 100 }));
  t.is(decide({ work: 14_000 }, { priority: 1 }, ...small), 'accept', 'teams with little work');
});

test('the team limit is the reason only if work of the team itself uses it up', (t) => {
  t.is(decide({ limitProcessors: 4 }, { team: 'mills', work: 24_000 }), 'team-limit');
  t.is(decide({ limitProcessors: 4 }, { team: 'clerks' }), 'capacity');
  t.is(decide({ limitProcessors: 0.1 }, {}), 'accept', 'never in time, whatever the load');
});

test('without a recent digest every job is accepted', (t) => {
  t.is(decideAdmission(JOB, null, 0).kind, 'accept');
  t.is(decideAdmission(JOB, digestOf(AHEAD), 2_001).kind, 'accept');
  t.is(decideAdmission(JOB, digestOf(AHEAD), 1_999).kind, 'refuse');
});

test('callers come back when the job fits, spread over a time that is shorter for a larger team', (t) => {
  const retryOf = (job: Partial<ArrivingJob>) => {
    const rival = { ...AHEAD, priority: 1, team: 'rival', work: 1 };
    const verdict = decideAdmission({ ...JOB, ...job }, digestOf(AHEAD, rival), 0);
    return verdict.kind === 'refuse' ? verdict.retryAfterMilliseconds : 0;
  };
  const first = retryOf({});
  t.true(first >= 1_500 && first <= 1_700, `${first} ms, the wait of 4 s less 2.5 s to spare`);
  t.true(retryOf({ spread: 0.9 }) > retryOf({ spread: 0.4 }));
  t.true(retryOf({ spread: 0.9, weight: 10 }) < retryOf({ spread: 0.9 }));
});
