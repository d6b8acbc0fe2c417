import test from 'ava';

import { createAdviceOrder } from '../core/adviceOrder.js';
import { chooseEndpointsForAdvice, countAdviceCalls } from '../core/chooseEndpointsForAdvice.js';
import type { AdviceCandidates, AdviceNeed } from '../core/chooseEndpointsForAdvice.js';
import { createEndpointChooser } from '../core/chooseEndpoint.js';
import type { EndpointCandidate, EndpointRequirements } from '../core/chooseEndpoint.js';

const CANDIDATE = {
  endpointId: 'a',
  rack: 'r1',
  capacity: { processors: 8, memoryBytes: 100, accelerators: 1 },
  used: { processors: 6, memoryBytes: 10, accelerators: 0 },
  stepTaskCount: 0,
  fillingTaskCount: 0,
  servingTaskCount: 0,
  slowness: 1,
  isKeptForUrgent: false,
  trialStepId: null,
  reservedStepId: null,
  isQuiet: true,
  workAtStake: 0,
};
const REQUEST = {
  resources: { processors: 2, memoryBytes: 10, accelerators: 0 },
  preferredRacks: [] as string[],
  keepsToRacks: false,
  maximumPerEndpoint: 0,
  isFilling: false,
  isServing: false,
  isUrgent: false,
  isLongRunning: false,
  trial: null,
};

function chooseEndpoint(
  candidates: readonly EndpointCandidate[],
  requirements: EndpointRequirements,
) {
  const copies = candidates.map((candidate) => ({ ...candidate }));
  return createEndpointChooser(copies, requirements).place(null);
}

test('a task is placed only on an endpoint where it fits in every dimension', (t) => {
  t.is(chooseEndpoint([CANDIDATE], REQUEST)?.endpointId, 'a');
  const dimensions = [
    { processors: 2.001, memoryBytes: 10, accelerators: 0 },
    { processors: 2, memoryBytes: 91, accelerators: 0 },
    { processors: 2, memoryBytes: 10, accelerators: 2 },
  ];
  dimensions.forEach((resources) => {
    t.is(chooseEndpoint([CANDIDATE], { ...REQUEST, resources }), null);
  });
});

test('the tightest fit is chosen, unless a preferred rack has room', (t) => {
  const empty = {
    ...CANDIDATE,
    endpointId: 'b',
    rack: 'r2',
    used: { ...CANDIDATE.used, processors: 0 },
  };
  t.is(chooseEndpoint([empty, CANDIDATE], REQUEST)?.endpointId, 'a');
  t.is(chooseEndpoint([empty, CANDIDATE], { ...REQUEST, preferredRacks: ['r2'] })?.endpointId, 'b');
});

test('the number of tasks of a step on one endpoint is limited', (t) => {
  const full = { ...CANDIDATE, stepTaskCount: 2 };
  t.is(chooseEndpoint([full], { ...REQUEST, maximumPerEndpoint: 2 }), null);
  t.is(chooseEndpoint([full], { ...REQUEST, maximumPerEndpoint: 3 })?.endpointId, 'a');
});

test('filling tasks never join serving tasks, and serving tasks prefer endpoints without filling tasks', (t) => {
  const serving = { ...CANDIDATE, servingTaskCount: 1 };
  t.is(chooseEndpoint([serving], { ...REQUEST, isFilling: true }), null);
  const filled = { ...CANDIDATE, fillingTaskCount: 1 };
  const other = { ...CANDIDATE, endpointId: 'b', used: { ...CANDIDATE.used, processors: 0 } };
  t.is(chooseEndpoint([filled, other], { ...REQUEST, isServing: true })?.endpointId, 'b');
  t.is(chooseEndpoint([filled], { ...REQUEST, isServing: true })?.endpointId, 'a');
});

test('urgent tasks take the fastest endpoint, others leave it free, and none prefers an unsound one', (t) => {
  const free = { ...CANDIDATE, used: { ...CANDIDATE.used, processors: 0 } };
  const candidates = [
    { ...free, endpointId: 'fast', slowness: 0.8 },
    { ...CANDIDATE, endpointId: 'usual' },
    { ...CANDIDATE, endpointId: 'slow', slowness: 1.25 },
    { ...CANDIDATE, endpointId: 'unsound', slowness: 4 },
  ];
  t.is(chooseEndpoint(candidates, { ...REQUEST, isUrgent: true })?.endpointId, 'fast');
  t.is(chooseEndpoint(candidates, REQUEST)?.endpointId, 'slow');
  t.is(chooseEndpoint([candidates[3]!, candidates[0]!], REQUEST)?.endpointId, 'fast');
});

const NEED: AdviceNeed = { stepId: 'a.0.0', waitingTasks: 1_000, eligibleProbability: 0.35 };
const COST = { callMilliseconds: 600, endpointMilliseconds: 6 };

function createCandidates(count: number): EndpointCandidate[] {
  return Array.from({ length: count }, (_, index) => ({
    ...CANDIDATE,
    endpointId: `${index}`,
    slowness: 1 + index / 4,
  }));
}

function createAdviceCandidates(
  withRoom: readonly EndpointCandidate[],
  withoutRoom: readonly EndpointCandidate[] = [],
  knownIds: readonly string[] = [],
): AdviceCandidates<EndpointCandidate> {
  const all = [...withRoom, ...withoutRoom];
  return {
    order: createAdviceOrder(all),
    knownEligible: all.filter(({ endpointId }) => knownIds.includes(endpointId)),
    hasRoom: (candidate) => withRoom.includes(candidate),
    isOpen: () => true,
  };
}

test('a call for advice is about as many endpoints as half of its fixed time allows, best ones first', (t) => {
  const all = createCandidates(200);
  const candidates = createAdviceCandidates([...all.slice(0, 100)].reverse(), all.slice(100));
  const urgent = { ...REQUEST, isUrgent: true };
  const chosen = chooseEndpointsForAdvice(candidates, urgent, COST, NEED);
  t.deepEqual(
    chosen.map(({ endpointId }) => Number(endpointId)),
    Array.from({ length: 50 }, (_, index) => index),
  );
  const free = { ...COST, endpointMilliseconds: 0 };
  t.is(chooseEndpointsForAdvice(candidates, urgent, free, NEED).length, 200);
  const few = createAdviceCandidates(all.slice(0, 30), all.slice(30, 40));
  t.is(chooseEndpointsForAdvice(few, urgent, COST, NEED).length, 40);
});

test('a call for a few tasks is about few endpoints, those known to be eligible first', (t) => {
  const all = createCandidates(100);
  const knownIds = all.slice(0, 10).map(({ endpointId }) => endpointId);
  const need = { ...NEED, waitingTasks: 2 };
  const candidates = createAdviceCandidates([...all].reverse(), [], knownIds);
  const chosen = chooseEndpointsForAdvice(candidates, REQUEST, COST, need);
  t.deepEqual(chosen.map(({ endpointId }) => endpointId).sort(), knownIds);
  const unknown = createAdviceCandidates(all);
  t.is(chooseEndpointsForAdvice(unknown, REQUEST, COST, need).length, 12);
  const oneWithRoom = createAdviceCandidates(all.slice(0, 1), all.slice(1));
  t.is(chooseEndpointsForAdvice(oneWithRoom, REQUEST, COST, need).length, 12);
});

// The number of endpoints in a call was 0 divided by 0, and no call was ever made.
test('advice whose calls take no time is requested for all endpoints in one call', (t) => {
  const candidates = createAdviceCandidates(createCandidates(40));
  const cost = { callMilliseconds: 0, endpointMilliseconds: 0 };
  t.is(chooseEndpointsForAdvice(candidates, REQUEST, cost, NEED).length, 40);
  t.is(countAdviceCalls(NEED, cost), 1);
});

test('no call is made while no endpoint has room', (t) => {
  const full = createAdviceCandidates([], createCandidates(20));
  t.deepEqual(chooseEndpointsForAdvice(full, REQUEST, COST, NEED), []);
});

test('steps that wait at the same time ask about different endpoints', (t) => {
  const equal = createCandidates(200).map((each) => ({ ...each, slowness: 1 }));
  const asked = ['a.0.0', 'b.0.0', 'c.0.0', 'd.0.0'].map((stepId) =>
    chooseEndpointsForAdvice(createAdviceCandidates(equal), REQUEST, COST, { ...NEED, stepId }),
  );
  t.true(asked.every((endpoints) => endpoints.length === 50));
  const distinct = new Set(asked.flat().map(({ endpointId }) => endpointId));
  t.true(distinct.size > 100, `${distinct.size} of 200 endpoints with room are asked about`);
});

test('a step has as many calls in flight as its waiting tasks need', (t) => {
  t.is(countAdviceCalls({ ...NEED, waitingTasks: 1 }, COST), 1);
  t.is(countAdviceCalls({ ...NEED, waitingTasks: 17 }, COST), 1);
  t.is(countAdviceCalls({ ...NEED, waitingTasks: 20 }, COST), 2);
  t.is(countAdviceCalls({ ...NEED, waitingTasks: 100 }, COST), 6);
});

test('an endpoint kept for urgent tasks gets others only if they last and fit nowhere else, and is the first choice for those', (t) => {
  const kept = { ...CANDIDATE, endpointId: 'kept', isKeptForUrgent: true };
  t.is(chooseEndpoint([kept], REQUEST), null);
  t.is(chooseEndpoint([CANDIDATE, kept], { ...REQUEST, isUrgent: true })?.endpointId, 'kept');
  const longRunning = { ...REQUEST, isLongRunning: true };
  t.is(chooseEndpoint([kept, CANDIDATE], longRunning)?.endpointId, 'a');
  t.is(chooseEndpoint([kept], longRunning)?.endpointId, 'kept');
});

test('tasks are placed until no endpoint has room, and the load of the candidates grows with them', (t) => {
  const candidates = ['a', 'b', 'c'].map((endpointId, index) => ({
    ...CANDIDATE,
    endpointId,
    rack: `r${index}`,
  }));
  const chooser = createEndpointChooser(candidates, {
    ...REQUEST,
    resources: { ...REQUEST.resources, processors: 1 },
  });
  const chosen = Array.from({ length: 7 }, () => chooser.place(null)?.endpointId ?? null);
  t.deepEqual(chosen, ['a', 'a', 'b', 'b', 'c', 'c', null]);
  t.deepEqual(
    candidates.map(({ used }) => used.processors),
    [8, 8, 8],
  );
});

test('an excluded endpoint is passed over for one task only', (t) => {
  const candidates = ['a', 'b'].map((endpointId) => ({ ...CANDIDATE, endpointId }));
  const chooser = createEndpointChooser(candidates, REQUEST);
  t.is(chooser.place('a')?.endpointId, 'b');
  t.is(chooser.place('a'), null);
  t.is(chooser.place(null)?.endpointId, 'a');
});

test('a step that keeps to racks fills the first rack before it uses another', (t) => {
  const candidates = [0, 1, 2, 3].map((index) => ({
    ...CANDIDATE,
    endpointId: `e${index}`,
    rack: `r${index % 2}`,
    used: { ...CANDIDATE.used, processors: index === 1 ? 5 : 6 },
  }));
  const chooser = createEndpointChooser(candidates, { ...REQUEST, keepsToRacks: true });
  const racks = Array.from({ length: 4 }, () => chooser.place(null)?.rack);
  t.deepEqual(racks, ['r0', 'r0', 'r1', 'r1']);
});
