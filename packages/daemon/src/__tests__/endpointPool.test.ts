import test from 'ava';

import { createRetryBudget } from '@chicorybend/common';
import type { EndpointRequest } from '@chicorybend/common';
import { createRequestQueue as createFairQueue } from '@chicorybend/decisions';
import type { QueuedRequest } from '@chicorybend/decisions';

import type { TrackedRequest } from '../core/trackedRequest.js';

import {
  answerRequest,
  createOpening,
  createPool,
  createStubLease,
  createPoolRequest,
  pause,
  startEndpoint,
  waitUntil,
} from './interactiveStubs.js';

/** Long enough for a request to be sent on a busy machine, and short enough to wait for its end. */
const REQUEST_TIMEOUT_MILLISECONDS = 1_000;

const CLOSED_PORT_VM = {
  id: 'refusing',
  role: 'endpoint',
  state: 'live',
  address: 'http://127.0.0.1:1',
  dataCentre: 'a',
  rack: 'r1',
} as const;

test.serial('a request gets the whole answer of an endpoint', async (t) => {
  const endpoint = await startEndpoint(t, 'e1');
  const { clock, service, allotments } = createPool(t, [endpoint]);
  await service.open(createOpening(createStubLease(0, 1)));
  const work = createPoolRequest(clock, { payload: 'x'.repeat(100_000) });
  const answer = (await service.execute(0, work)).unwrap();
  t.deepEqual(answer, {
    requestId: work.requestId,
    endpointId: 'e1',
    result: { echo: work.payload },
  });
  t.is(allotments.charged.get('bench'), 0);
});

test.serial(
  'a non-idempotent request is sent once to an endpoint that closes after taking it',
  async (t) => {
    const endpoints = await Promise.all(
      ['e1', 'e2'].map((id) => startEndpoint(t, id, (_request, response) => response.destroy())),
    );
    const { clock, service } = createPool(t, endpoints);
    await service.open(createOpening(createStubLease(0, 1)));
    const outcomes = await Promise.all(
      Array.from({ length: 10 }, () => service.execute(0, createPoolRequest(clock))),
    );
    const sent = endpoints.flatMap(({ received }) => received.map(({ requestId }) => requestId));
    t.is(new Set(sent).size, sent.length);
    const unknown = outcomes.filter(
      (outcome) => outcome.isErr() && outcome.error.run === 'unknown',
    );
    // A request that no endpoint received may be refused as not run; one that was received may not.
    t.is(unknown.length, sent.length);
  },
);

test.serial(
  'an idempotent request is sent again after a loss, within the retry budget',
  async (t) => {
    const broken = await startEndpoint(t, 'e1', (_request, response) => response.destroy());
    const { clock, service, counters } = createPool(t, [broken], {
      retryBudget: createRetryBudget(0, 1),
    });
    await service.open(createOpening(createStubLease(0, 1)));
    const outcome = await service.execute(0, createPoolRequest(clock, { isIdempotent: true }));
    t.is(outcome.unwrapErr().run, 'unknown');
    t.is(broken.received.length, 2);
    t.is(counters.read('requests.retried'), 1);
    t.is(counters.read('requests.retries.refused'), 1);
  },
);

test.serial(
  'a refused connection is retried at another endpoint, also for a non-idempotent request',
  async (t) => {
    const endpoint = await startEndpoint(t, 'e1', undefined, { slots: 1 });
    const { clock, service, vms } = createPool(t, [endpoint]);
    vms.set([CLOSED_PORT_VM, endpoint.vm]);
    await service.open(createOpening(createStubLease(0, 1)));
    const outcomes = await Promise.all(
      Array.from({ length: 6 }, () => service.execute(0, createPoolRequest(clock))),
    );
    t.true(outcomes.every((outcome) => outcome.isOk()));
    t.is(endpoint.received.length, 6);
  },
);

test.serial(
  'a request on a silent endpoint ends as unknown by its deadline and its slot stays occupied',
  async (t) => {
    const endpoint = await startEndpoint(t, 'e1', () => undefined, { slots: 1 });
    const { clock, service } = createPool(t, [endpoint]);
    await service.open(createOpening(createStubLease(0, 1)));
    const deadlineAt = clock.monotonicMilliseconds() + REQUEST_TIMEOUT_MILLISECONDS;
    const outcome = await service.execute(0, createPoolRequest(clock, { deadlineAt }));
    t.is(outcome.unwrapErr().code, 'outcome-unknown');
    t.is(service.loadOf(0).freeSlots, 0);
    const later = await service.execute(
      0,
      createPoolRequest(clock, {
        deadlineAt: clock.monotonicMilliseconds() + REQUEST_TIMEOUT_MILLISECONDS,
      }),
    );
    t.is(later.unwrapErr().run, 'not-run');
    t.is(endpoint.received.length, 1);
  },
);

test.serial('the slot of a timed-out request is free once its connection has ended', async (t) => {
  const endpoint = await startEndpoint(
    t,
    'e1',
    (_request, response) => {
      setTimeout(() => response.destroy(), 1_500);
    },
    { slots: 1 },
  );
  const { clock, service, allotments } = createPool(t, [endpoint]);
  await service.open(createOpening(createStubLease(0, 1)));
  const deadlineAt = clock.monotonicMilliseconds() + REQUEST_TIMEOUT_MILLISECONDS;
  t.is(
    (await service.execute(0, createPoolRequest(clock, { deadlineAt }))).unwrapErr().run,
    'unknown',
  );
  t.is(allotments.charged.get('bench'), 1);
  await waitUntil(() => service.loadOf(0).freeSlots === 1);
  t.is(allotments.charged.get('bench'), 0);
});

test.serial(
  'a connection that got no answer in time is not used again and a late answer is dropped',
  async (t) => {
    let isFirst = true;
    const endpoint = await startEndpoint(t, 'e1', (request, response) => {
      const delay = isFirst ? 1_500 : 0;
      isFirst = false;
      setTimeout(() => answerRequest('e1', request, response), delay);
    });
    const { clock, service, counters } = createPool(t, [endpoint]);
    await service.open(createOpening(createStubLease(0, 1)));
    const deadlineAt = clock.monotonicMilliseconds() + REQUEST_TIMEOUT_MILLISECONDS;
    const first = await service.execute(0, createPoolRequest(clock, { deadlineAt }));
    t.is(first.unwrapErr().run, 'unknown');
    const work = createPoolRequest(clock);
    t.is((await service.execute(0, work)).unwrap().requestId, work.requestId);
    await waitUntil(() => counters.read('endpoints.answers.late') === 1);
    t.is(counters.read('endpoints.connections.suspect'), 1);
  },
);

test.serial('answers that are crossed between two requests reach neither', async (t) => {
  const waiting: { request: EndpointRequest; answer: (other: EndpointRequest) => void }[] = [];
  const endpoint = await startEndpoint(t, 'e1', (request, response) => {
    waiting.push({ request, answer: (other) => answerRequest('e1', other, response) });
    const [first, second] = waiting;
    if (!first || !second) return;
    first.answer(second.request);
    second.answer(first.request);
  });
  const { clock, service, counters } = createPool(t, [endpoint]);
  await service.open(createOpening(createStubLease(0, 1)));
  const outcomes = await Promise.all([
    service.execute(0, createPoolRequest(clock)),
    service.execute(0, createPoolRequest(clock)),
  ]);
  outcomes.forEach((outcome) => t.is(outcome.unwrapErr().code, 'outcome-unknown'));
  t.is(counters.read('endpoints.answers.crossed'), 2);
});

test.serial('an answer that is cut off is never taken for a whole one', async (t) => {
  const endpoint = await startEndpoint(t, 'e1', (request, response) => {
    const body = JSON.stringify({ requestId: request.requestId, endpointId: 'e1', result: 1 });
    const { kind } = request.payload as { kind: string };
    // The text before the cut is a whole document; only the length tells that more was to come.
    if (kind === 'short') response.setHeader('content-length', String(body.length + 100));
    response.write(body);
    setTimeout(() => response.destroy(), 20);
  });
  const { clock, service } = createPool(t, [endpoint]);
  await service.open(createOpening(createStubLease(0, 1)));
  for (const kind of ['short', 'chunked']) {
    const outcome = await service.execute(0, createPoolRequest(clock, { payload: { kind } }));
    t.is(outcome.unwrapErr().code, 'outcome-unknown', kind);
  }
});

test.serial(
  'an answer without a length is not taken, because its end cannot be told from a cut',
  async (t) => {
    const endpoint = await startEndpoint(t, 'e1', (request, _response, incoming) => {
      const body = JSON.stringify({ requestId: request.requestId, endpointId: 'e1', result: 1 });
      incoming.socket.end(`HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n${body}`);
    });
    const { clock, service } = createPool(t, [endpoint]);
    await service.open(createOpening(createStubLease(0, 1)));
    const outcome = await service.execute(0, createPoolRequest(clock));
    t.is(outcome.unwrapErr().code, 'outcome-unknown');
  },
);

test.serial('an endpoint never has more requests than slots', async (t) => {
  const endpoint = await startEndpoint(
    t,
    'e1',
    (request, response) => {
      setTimeout(() => answerRequest('e1', request, response), 5);
    },
    { slots: 3 },
  );
  const { clock, service } = createPool(t, [endpoint]);
  await service.open(createOpening(createStubLease(0, 1)));
  const outcomes = await Promise.all(
    Array.from({ length: 60 }, () => service.execute(0, createPoolRequest(clock))),
  );
  t.true(outcomes.every((outcome) => outcome.isOk()));
  t.true(endpoint.maximumRunning <= 3);
  t.true(endpoint.connections() <= 3);
});

test.serial('a team at its upper limit waits while another team is served', async (t) => {
  let running = 0;
  let mostRunning = 0;
  const endpoint = await startEndpoint(
    t,
    'e1',
    (request, response) => {
      const count = request.team === 'bench' ? 1 : 0;
      running += count;
      mostRunning = Math.max(mostRunning, running);
      setTimeout(() => {
        running -= count;
        answerRequest('e1', request, response);
      }, 30);
    },
    { slots: 8 },
  );
  const { clock, service, allotments } = createPool(t, [endpoint], { limits: { bench: 1 } });
  await service.open(createOpening(createStubLease(0, 1)));
  const limited = Array.from({ length: 3 }, () => service.execute(0, createPoolRequest(clock)));
  const other = await service.execute(0, createPoolRequest(clock, { team: 'quotes' }));
  t.true(other.isOk());
  t.true(endpoint.received.length < 4, 'the limited team still waits');
  t.true((await Promise.all(limited)).every((outcome) => outcome.isOk()));
  t.is(mostRunning, 1);
  t.is(allotments.charged.get('bench'), 0);
});

test.serial(
  'a request of a team whose limit stays used up is refused as over the limit',
  async (t) => {
    const endpoint = await startEndpoint(t, 'e1');
    const { clock, service } = createPool(t, [endpoint], { limits: { bench: 0 } });
    await service.open(createOpening(createStubLease(0, 1)));
    const deadlineAt = clock.monotonicMilliseconds() + 100;
    const outcome = await service.execute(0, createPoolRequest(clock, { deadlineAt }));
    t.is(outcome.unwrapErr().code, 'over-limit');
    t.is(endpoint.received.length, 0);
  },
);

test.serial('a leaving or absent endpoint gets no new work and finishes what it has', async (t) => {
  const answers: (() => void)[] = [];
  const endpoint = await startEndpoint(t, 'e1', (request, response) => {
    answers.push(() => answerRequest('e1', request, response));
  });
  const { clock, service, vms } = createPool(t, [endpoint]);
  await service.open(createOpening(createStubLease(0, 1)));
  const running = service.execute(0, createPoolRequest(clock));
  await waitUntil(() => endpoint.received.length === 1);
  vms.set([{ ...endpoint.vm, state: 'leaving' }]);
  t.is((await service.execute(0, createPoolRequest(clock))).unwrapErr().code, 'no-endpoint');
  vms.set([]);
  t.is((await service.execute(0, createPoolRequest(clock))).unwrapErr().code, 'no-endpoint');
  answers.forEach((answer) => answer());
  t.true((await running).isOk());
  t.is(endpoint.received.length, 1);
});

test.serial(
  'an endpoint is ejected after three consecutive failures and readmitted after a probe',
  async (t) => {
    const endpoint = await startEndpoint(t, 'e1', (_request, response) => response.destroy());
    endpoint.isHealthy = false;
    const { clock, service, counters } = createPool(t, [endpoint]);
    await service.open(createOpening(createStubLease(0, 1)));
    for (let index = 0; index < 3; index += 1) {
      t.is((await service.execute(0, createPoolRequest(clock))).unwrapErr().run, 'unknown');
    }
    t.is((await service.execute(0, createPoolRequest(clock))).unwrapErr().code, 'no-endpoint');
    t.is(counters.read('endpoints.ejected'), 1);
    t.is(endpoint.received.length, 3);
    endpoint.behaviour = (request, response) => answerRequest('e1', request, response);
    endpoint.isHealthy = true;
    await waitUntil(() => service.loadOf(0).freeSlots > 0);
    t.true((await service.execute(0, createPoolRequest(clock))).isOk());
  },
);

test.serial(
  'requests with short deadlines do not eject a slow endpoint that answers its health call',
  async (t) => {
    const endpoint = await startEndpoint(t, 'e1', (request, response) => {
      setTimeout(() => answerRequest('e1', request, response), 200);
    });
    const { clock, service, counters } = createPool(t, [endpoint]);
    await service.open(createOpening(createStubLease(0, 1)));
    for (let index = 0; index < 4; index += 1) {
      const deadlineAt = clock.monotonicMilliseconds() + 50;
      await service.execute(0, createPoolRequest(clock, { deadlineAt }));
    }
    await pause(50);
    t.is(counters.read('endpoints.ejected'), 0);
  },
);

test.serial('an owner that was paused between queueing and sending never sends', async (t) => {
  const answers: (() => void)[] = [];
  const endpoint = await startEndpoint(
    t,
    'e1',
    (request, response) => {
      answers.push(() => answerRequest('e1', request, response));
    },
    { slots: 1 },
  );
  const { clock, service } = createPool(t, [endpoint]);
  const lease = createStubLease(0, 1);
  await service.open(createOpening(lease));
  const running = service.execute(0, createPoolRequest(clock));
  const queued = service.execute(0, createPoolRequest(clock));
  await waitUntil(() => answers.length === 1);
  lease.isAllowed = false;
  answers.forEach((answer) => answer());
  t.true((await running).isOk());
  const failure = (await queued).unwrapErr();
  t.is(failure.code, 'not-owner');
  t.is(failure.run, 'not-run');
  t.is(endpoint.received.length, 1);
});

test.serial('an owner that is paused while its connection opens never sends', async (t) => {
  const endpoint = await startEndpoint(t, 'e1');
  const { clock, service } = createPool(t, [endpoint]);
  const lease = createStubLease(0, 1);
  await service.open(createOpening(lease));
  // The connection cannot be open in the turn in which the request is queued.
  const connecting = service.execute(0, createPoolRequest(clock));
  lease.isAllowed = false;
  t.is((await connecting).unwrapErr().code, 'not-owner');
  t.is(endpoint.received.length, 0);
});

test.serial(
  'after a takeover all slots are occupied until the former owner’s requests have ended',
  async (t) => {
    const endpoint = await startEndpoint(t, 'e1');
    const { clock, service } = createPool(t, [endpoint]);
    const formerOwnerStoppedAt = clock.monotonicMilliseconds() - 9_700;
    await service.open({ ...createOpening(createStubLease(0, 2)), formerOwnerStoppedAt });
    t.is(service.loadOf(0).freeSlots, 0);
    const startedAt = clock.monotonicMilliseconds();
    t.true((await service.execute(0, createPoolRequest(clock))).isOk());
    t.true(clock.monotonicMilliseconds() - startedAt >= 250);
  },
);

test.serial(
  'a request whose deadline ends before the slots are free after a takeover is refused early',
  async (t) => {
    const endpoint = await startEndpoint(t, 'e1');
    const { clock, service } = createPool(t, [endpoint]);
    const formerOwnerStoppedAt = clock.monotonicMilliseconds();
    await service.open({ ...createOpening(createStubLease(0, 2)), formerOwnerStoppedAt });
    const failure = (await service.execute(0, createPoolRequest(clock))).unwrapErr();
    t.is(failure.code, 'overloaded');
    t.true((failure.retryAfterMilliseconds ?? 0) > 5_000);
  },
);

test.serial(
  'a planned handover transfers occupied slots, refuses what waits and ends what runs',
  async (t) => {
    const answers: (() => void)[] = [];
    const endpoint = await startEndpoint(
      t,
      'e1',
      (request, response) => {
        answers.push(() => answerRequest('e1', request, response));
      },
      { slots: 2 },
    );
    const former = createPool(t, [endpoint]);
    await former.service.open(createOpening(createStubLease(0, 1)));
    const running = [1, 2].map(() => former.service.execute(0, createPoolRequest(former.clock)));
    const queued = former.service.execute(0, createPoolRequest(former.clock));
    await waitUntil(() => answers.length === 2);
    const handedOver = JSON.parse(JSON.stringify(await former.service.release(0))) as unknown;
    t.is((await queued).unwrapErr().code, 'not-owner');
    t.is(
      (await former.service.execute(0, createPoolRequest(former.clock))).unwrapErr().code,
      'not-owner',
    );
    former.service.close(0);
    const next = createPool(t, [endpoint]);
    await next.service.open({ ...createOpening(createStubLease(0, 2)), handedOver });
    t.is(next.service.loadOf(0).freeSlots, 0);
    t.is(next.allotments.charged.get('bench'), 2);
    answers.forEach((answer) => answer());
    t.true((await Promise.all(running)).every((outcome) => outcome.isOk()));
  },
);

test.serial(
  'an idempotent request on a silent connection is answered over another one before its deadline',
  async (t) => {
    let isSilent = true;
    const endpoint = await startEndpoint(t, 'e1', (request, response) => {
      if (!isSilent) answerRequest('e1', request, response);
      isSilent = false;
    });
    const { clock, service, counters } = createPool(t, [endpoint]);
    await service.open(createOpening(createStubLease(0, 1)));
    const deadlineAt = clock.monotonicMilliseconds() + 4_000;
    const work = createPoolRequest(clock, { isIdempotent: true, deadlineAt });
    t.is((await service.execute(0, work)).unwrap().requestId, work.requestId);
    t.is(endpoint.received.length, 2);
    t.is(counters.read('requests.retried'), 1);
  },
);

test.serial(
  'slow idempotent work is not cut short: the answer of its first execution counts',
  async (t) => {
    let isFirst = true;
    const endpoint = await startEndpoint(t, 'e1', (request, response) => {
      // The second execution would end long after the deadline.
      const delay = isFirst ? 2_000 : 8_000;
      isFirst = false;
      setTimeout(() => answerRequest('e1', request, response), delay).unref();
    });
    const { clock, service, counters } = createPool(t, [endpoint]);
    await service.open(createOpening(createStubLease(0, 1)));
    const deadlineAt = clock.monotonicMilliseconds() + 3_000;
    const work = createPoolRequest(clock, { isIdempotent: true, deadlineAt });
    t.is((await service.execute(0, work)).unwrap().requestId, work.requestId);
    t.is(endpoint.received.length, 2);
    t.is(counters.read('endpoints.ejected'), 0);
  },
);

test.serial(
  'slow idempotent work goes on to its deadline when the retry budget is used up',
  async (t) => {
    const endpoint = await startEndpoint(t, 'e1', (request, response) => {
      setTimeout(() => answerRequest('e1', request, response), 2_000);
    });
    const retryBudget = createRetryBudget(0, 0);
    const { clock, service } = createPool(t, [endpoint], { retryBudget });
    await service.open(createOpening(createStubLease(0, 1)));
    const deadlineAt = clock.monotonicMilliseconds() + 4_000;
    const work = createPoolRequest(clock, { isIdempotent: true, deadlineAt });
    t.true((await service.execute(0, work)).isOk());
    t.is(endpoint.received.length, 1);
  },
);

test.serial(
  'slots whose requests got no answer do not count when requests are admitted',
  async (t) => {
    const endpoint = await startEndpoint(t, 'e1', () => undefined, { slots: 2 });
    const { clock, service } = createPool(t, [endpoint]);
    await service.open(createOpening(createStubLease(0, 1)));
    await Promise.all(
      [1, 2].map(() => {
        const deadlineAt = clock.monotonicMilliseconds() + REQUEST_TIMEOUT_MILLISECONDS;
        return service.execute(0, createPoolRequest(clock, { deadlineAt }));
      }),
    );
    t.is(service.expectedWaitMilliseconds(0, 'bench'), Number.POSITIVE_INFINITY);
    t.is((await service.execute(0, createPoolRequest(clock))).unwrapErr().code, 'no-endpoint');
  },
);

test.serial('units of requests that end during a release are given back', async (t) => {
  const endpoint = await startEndpoint(t, 'e1', (request, response) => {
    setTimeout(() => answerRequest('e1', request, response), 50);
  });
  const { clock, service, allotments } = createPool(t, [endpoint]);
  await service.open(createOpening(createStubLease(0, 1)));
  const running = service.execute(0, createPoolRequest(clock));
  await waitUntil(() => endpoint.received.length === 1);
  const handedOver = (await service.release(0)) as { slots: unknown[] };
  t.true((await running).isOk());
  t.deepEqual(handedOver.slots, []);
  t.is(allotments.charged.get('bench'), 0);
});

test.serial(
  'a silent endpoint that answers no health call either is ejected after one request',
  async (t) => {
    const endpoint = await startEndpoint(t, 'e1', () => undefined);
    endpoint.isHealthy = false;
    const { clock, service, counters } = createPool(t, [endpoint]);
    await service.open(createOpening(createStubLease(0, 1)));
    const deadlineAt = clock.monotonicMilliseconds() + REQUEST_TIMEOUT_MILLISECONDS;
    await service.execute(0, createPoolRequest(clock, { deadlineAt }));
    await waitUntil(() => counters.read('endpoints.ejected') === 1);
    t.is(service.loadOf(0).freeSlots, 0);
  },
);

test.serial('a retry goes to an endpoint that the request was not given to before', async (t) => {
  const refusing = [1, 2].map((index) => ({ ...CLOSED_PORT_VM, id: `refusing${index}` }));
  const endpoint = await startEndpoint(t, 'e1', undefined, { slots: 1 });
  const retryBudget = createRetryBudget(0, 2);
  const { clock, service, vms } = createPool(t, [endpoint], { retryBudget });
  vms.set([...refusing, endpoint.vm]);
  await service.open(createOpening(createStubLease(0, 1)));
  t.true((await service.execute(0, createPoolRequest(clock))).isOk());
});

test.serial(
  'a request that was lost and then waits beyond its deadline is not reported as not run',
  async (t) => {
    let isFirst = true;
    const endpoint = await startEndpoint(
      t,
      'e1',
      (_request, response) => {
        if (isFirst) response.destroy();
        isFirst = false;
      },
      { slots: 1 },
    );
    const { clock, service } = createPool(t, [endpoint]);
    await service.open(createOpening(createStubLease(0, 1)));
    const now = clock.monotonicMilliseconds();
    const lost = service.execute(
      0,
      createPoolRequest(clock, {
        isIdempotent: true,
        deadlineAt: now + REQUEST_TIMEOUT_MILLISECONDS,
      }),
    );
    // Takes the slot before the lost request is queued again.
    const stuck = service.execute(0, createPoolRequest(clock, { deadlineAt: now + 1_500 }));
    t.is((await lost).unwrapErr().run, 'unknown');
    t.is((await stuck).unwrapErr().run, 'unknown');
    t.is(endpoint.received.length, 2);
  },
);

test.serial(
  'a request is not sent so late that a slow answer would miss its deadline',
  async (t) => {
    const endpoint = await startEndpoint(t, 'e1');
    const queuedUntil: number[] = [];
    const { clock, service } = createPool(t, [endpoint], {
      createRequestQueue(options) {
        const queue = createFairQueue<TrackedRequest>(options);
        return {
          ...queue,
          push(request) {
            queuedUntil.push(request.deadlineAt);
            return queue.push(request);
          },
        };
      },
    });
    await service.open(createOpening(createStubLease(0, 1)));
    const deadlineAt = clock.monotonicMilliseconds() + 10_000;
    t.true((await service.execute(0, createPoolRequest(clock, { deadlineAt }))).isOk());
    const margin = deadlineAt - (queuedUntil[0] ?? deadlineAt);
    t.true(margin > 500 && margin <= 1_000);
  },
);

test.serial(
  'a request that the queue drops while it looks for the next one is refused at once',
  async (t) => {
    const endpoint = await startEndpoint(t, 'e1');
    const { clock, service } = createPool(t, [endpoint], {
      createRequestQueue(options) {
        const queue = createFairQueue<TrackedRequest>(options);
        let dropped: QueuedRequest<TrackedRequest>[] = [];
        return {
          ...queue,
          shift(now) {
            const next = queue.shift(now);
            if (next) dropped.push(next);
            return null;
          },
          removeExpired() {
            const expired = dropped;
            dropped = [];
            return expired;
          },
        };
      },
    });
    await service.open(createOpening(createStubLease(0, 1)));
    const outcome = await service.execute(0, createPoolRequest(clock));
    t.is(outcome.unwrapErr().code, 'deadline-passed');
    t.is(endpoint.received.length, 0);
  },
);
