import { setImmediate } from 'node:timers/promises';

import { createManualClock, createSilentLog } from '@chicorybend/common';
import test from 'ava';

import type { AdviceClient } from '../types/advice.js';
import { createAdviceCache } from '../core/adviceCache.js';
import type { AdviceRequest } from '../core/adviceCache.js';
import { createSchedulerMetrics } from '../core/schedulerMetrics.js';
import { createWorkMeter } from '../core/workMeter.js';

const ENDPOINT = { endpointId: 'endpoint-1', bornAt: 1 };
const SHORT = { callMilliseconds: 20, endpointMilliseconds: 1, ticketMilliseconds: 2_000 };
const LONG = { ...SHORT, callMilliseconds: 600 };

function createRequest(stepId: string, settings: typeof SHORT, maximumCalls = 1): AdviceRequest {
  return { stepId, queue: 'work', settings, maximumCalls, chooseEndpoints: () => [ENDPOINT] };
}

function createCacheWithChannels(channelCount: number) {
  const clock = createManualClock();
  const requestedSteps: string[] = [];
  const channelsUsed: number[] = [];
  const cache = createAdviceCache({
    clock,
    log: createSilentLog(),
    metrics: createSchedulerMetrics(),
    workMeter: createWorkMeter(clock),
    onAnswer: () => {},
  });
  const answers: (() => void)[] = [];
  for (let channel = 0; channel < channelCount; channel += 1) {
    const client: AdviceClient = {
      advise(stepId, endpointIds) {
        requestedSteps.push(stepId);
        channelsUsed.push(channel);
        return new Promise((resolve) => {
          const tickets = endpointIds.map((endpointId) => ({ endpointId, ticket: 'ticket' }));
          answers.push(() => resolve({ kind: 'answered', tickets, validMilliseconds: 2_000 }));
        });
      },
    };
    cache.addChannel(client, `vm-${channel}`);
  }
  return { clock, cache, requestedSteps, channelsUsed, answers };
}

test('a ticket is used until shortly before it expires; eligibility stays known until the step is forgotten', async (t) => {
  const { clock, cache, answers } = createCacheWithChannels(1);
  cache.setRequests([createRequest('a.0.0', SHORT)]);
  answers[0]!();
  await setImmediate();
  t.is(cache.ticketFor('a.0.0', ENDPOINT), 'ticket');
  t.is(cache.ticketFor('a.0.0', { ...ENDPOINT, bornAt: 2 }), null);
  clock.advance(1_900);
  t.is(cache.ticketFor('a.0.0', ENDPOINT), null);
  t.true(cache.isEligible('a.0.0', ENDPOINT));
  cache.forgetStep('a.0.0');
  t.is(cache.isEligible('a.0.0', ENDPOINT), null);
});

test('each channel carries one call at a time in request order, and long calls leave channels free for short ones', (t) => {
  const { cache, requestedSteps } = createCacheWithChannels(4);
  const long = ['l1', 'l2', 'l3'].map((stepId) => createRequest(stepId, LONG));
  cache.setRequests([...long, ...['s1', 's2', 's3'].map((stepId) => createRequest(stepId, SHORT))]);
  t.deepEqual(requestedSteps, ['l1', 'l2', 's1', 's2']);
});

test('a request repeated while its call is in flight is dropped once the answer is known', async (t) => {
  const { cache, requestedSteps, answers } = createCacheWithChannels(1);
  const request = createRequest('a.0.0', SHORT);
  cache.setRequests([request]);
  // A round during the call still finds no ticket, and sets the same request again.
  cache.setRequests([request]);
  answers[0]!();
  await setImmediate();
  t.deepEqual(requestedSteps, ['a.0.0']);
  cache.setRequests([
    { ...request, chooseEndpoints: () => [{ endpointId: 'endpoint-2', bornAt: 1 }] },
  ]);
  t.deepEqual(requestedSteps, ['a.0.0', 'a.0.0']);
});

test('a wide step uses idle channels for further calls, about other endpoints, after all steps have one', (t) => {
  const { cache, requestedSteps } = createCacheWithChannels(4);
  const names = ['e1', 'e2', 'e3', 'e4'];
  const wide: AdviceRequest = {
    ...createRequest('wide', SHORT, 3),
    chooseEndpoints: () =>
      names
        .filter((endpointId) => !cache.askedEndpoints('wide').has(endpointId))
        .slice(0, 2)
        .map((endpointId) => ({ endpointId, bornAt: 1 })),
  };
  cache.setRequests([wide, createRequest('narrow', SHORT)]);
  t.deepEqual(requestedSteps, ['wide', 'narrow', 'wide']);
});

test('the probability that an endpoint is eligible is learnt from answers about unknown endpoints', async (t) => {
  const { cache, answers } = createCacheWithChannels(1);
  const before = cache.eligibleProbability('work');
  cache.setRequests([createRequest('a.0.0', SHORT)]);
  answers[0]!();
  await setImmediate();
  const learnt = cache.eligibleProbability('work');
  t.true(learnt > before);
  cache.setRequests([createRequest('a.0.0', SHORT)]);
  answers[1]!();
  await setImmediate();
  t.is(cache.eligibleProbability('work'), learnt);
});

test('the channel that was added first, the own one of the owner, is used first', (t) => {
  const { cache, channelsUsed } = createCacheWithChannels(3);
  cache.setRequests([createRequest('a.0.0', SHORT), createRequest('b.0.0', SHORT)]);
  t.deepEqual(channelsUsed, [0, 1]);
});

test('long calls are not kept waiting beside idle channels while others are silent', async (t) => {
  const { clock, cache, requestedSteps } = createCacheWithChannels(6);
  cache.setRequests(['a', 'b', 'c'].map((stepId) => createRequest(stepId, SHORT)));
  cache.setRequests([]);
  clock.advance(300);
  clock.advance(1);
  requestedSteps.length = 0;
  cache.setRequests(['l1', 'l2', 'l3'].map((stepId) => createRequest(stepId, LONG)));
  t.deepEqual(requestedSteps, ['l1', 'l2']);
});
