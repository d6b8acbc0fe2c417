import { setImmediate } from 'node:timers/promises';

import { createManualClock, createSilentLog, sleep } from '@chicorybend/common';
import type { ManualClock } from '@chicorybend/common';
import test from 'ava';

import type { AdviceClient, AdviceOutcome } from '../types/advice.js';
import { createAdviceCache } from '../core/adviceCache.js';
import type { AdviceCache } from '../core/adviceCache.js';
import { createSchedulerMetrics } from '../core/schedulerMetrics.js';
import { createWorkMeter } from '../core/workMeter.js';

const SETTINGS = { callMilliseconds: 20, endpointMilliseconds: 0.28, ticketMilliseconds: 2_500 };
const SERVICE_MILLISECONDS = 28;
const TICK_MILLISECONDS = 5;
const ROUND_DELAY_MILLISECONDS = 10;
/** A job that stands still for 3 s counts as lost; the wait for advice may take a third of that. */
const LONGEST_WAIT_MILLISECONDS = 1_000;
const ENDPOINTS = Array.from({ length: 30 }, (_, index) => ({
  endpointId: `endpoint-${index}`,
  bornAt: 1,
}));

/** `silent`: no answer before the timeout; `refused`: fails at once; `late`: answers after half of a second more. */
type Behaviour = 'answers' | 'silent' | 'refused' | 'late';

/** Steps about which the service gives no advice, through whichever VM, have ids that begin with this. */
const UNANSWERABLE = 'unanswerable';

interface Vm {
  behaviour: Behaviour;
  /** Behaviour of the service towards {@link UNANSWERABLE} steps. */
  towardsUnanswerable?: Behaviour;
  /** Number of its calls that reached the service. */
  served: number;
  calls: number;
}

function createAdviser(vm: Vm, clock: ManualClock): AdviceClient {
  return {
    async advise(stepId, endpointIds, timeoutMilliseconds): Promise<AdviceOutcome> {
      const { towardsUnanswerable } = vm;
      const behaviour = stepId.startsWith(UNANSWERABLE)
        ? (towardsUnanswerable ?? vm.behaviour)
        : vm.behaviour;
      vm.calls += 1;
      if (behaviour === 'silent') {
        await sleep(clock, timeoutMilliseconds);
        return { kind: 'failed', reason: 'no answer in time' };
      }
      if (behaviour === 'refused') return { kind: 'failed', reason: 'status 503' };
      vm.served += 1;
      await sleep(clock, SERVICE_MILLISECONDS + (behaviour === 'late' ? 500 : 0));
      const tickets = endpointIds.map((endpointId) => ({ endpointId, ticket: 'ticket' }));
      return { kind: 'answered', tickets, validMilliseconds: 2_500 };
    },
  };
}

/** Steps that request advice in each round until they have a ticket. */
function createSteps(cache: AdviceCache, clock: ManualClock) {
  const waiting = new Map<string, number>();
  const waits = new Map<string, number>();

  function runRound(): void {
    [...waiting].forEach(([stepId, since]) => {
      if (!cache.hasTickets(stepId)) return;
      waits.set(stepId, clock.monotonicMilliseconds() - since);
      waiting.delete(stepId);
    });
    cache.setRequests(
      [...waiting.keys()].map((stepId) => ({
        stepId,
        queue: 'work',
        settings: SETTINGS,
        maximumCalls: 1,
        chooseEndpoints() {
          const asked = cache.askedEndpoints(stepId);
          return ENDPOINTS.filter(({ endpointId }) => !asked.has(endpointId));
        },
      })),
    );
  }

  return {
    waits,
    waiting,
    runRound,
    add(stepId: string) {
      waiting.set(stepId, clock.monotonicMilliseconds());
    },
    longestWait: () =>
      Math.max(
        0,
        ...waits.values(),
        ...[...waiting.values()].map((since) => clock.monotonicMilliseconds() - since),
      ),
  };
}

function createVms(behaviours: readonly Behaviour[]) {
  const clock = createManualClock();
  let isRoundRequested = true;
  const cache = createAdviceCache({
    clock,
    log: createSilentLog(),
    metrics: createSchedulerMetrics(),
    workMeter: createWorkMeter(clock),
    onAnswer() {
      isRoundRequested = true;
    },
  });
  const vms = behaviours.map((behaviour): Vm => ({ behaviour, served: 0, calls: 0 }));
  vms.forEach((vm, index) => cache.addChannel(createAdviser(vm, clock), `vm-${index}`));
  const steps = createSteps(cache, clock);

  async function advance(milliseconds: number, onTick: () => void = () => {}): Promise<void> {
    const endsAt = clock.monotonicMilliseconds() + milliseconds;
    let nextRoundAt = 0;
    while (clock.monotonicMilliseconds() < endsAt) {
      onTick();
      if (isRoundRequested && clock.monotonicMilliseconds() >= nextRoundAt) {
        isRoundRequested = false;
        nextRoundAt = clock.monotonicMilliseconds() + ROUND_DELAY_MILLISECONDS;
        steps.runRound();
      }
      clock.advance(TICK_MILLISECONDS);
      await setImmediate();
    }
  }

  return {
    cache,
    vms,
    steps,
    advance,
    request(stepId: string) {
      steps.add(stepId);
      isRoundRequested = true;
    },
    servedCalls: () => vms.reduce((sum, { served }) => sum + served, 0),
  };
}

function behave(count: number, silent: number, how: Behaviour): Behaviour[] {
  return Array.from({ length: count }, (_, index) => (index < silent ? how : 'answers'));
}

for (const how of ['silent', 'refused'] as const) {
  for (const silent of [1, 3, 9]) {
    test(`no step stands still while ${silent} of 10 VMs give no advice (${how})`, async (t) => {
      const { steps, request, advance } = createVms(behave(10, silent, how));
      ['a', 'b', 'c', 'd', 'e', 'f'].forEach(request);
      await advance(4_000);
      t.true(steps.longestWait() <= LONGEST_WAIT_MILLISECONDS, `${steps.longestWait()} ms`);
    });
  }
}

test('a single step does not stand still while 37 of 38 VMs are silent', async (t) => {
  const { steps, request, advance } = createVms(behave(38, 37, 'silent'));
  request('a');
  await advance(4_000);
  t.true(steps.longestWait() <= 2 * LONGEST_WAIT_MILLISECONDS, `${steps.longestWait()} ms`);
});

test('no step stands still under load while VMs fall silent, one after another', async (t) => {
  const { steps, vms, request, advance } = createVms(behave(10, 0, 'silent'));
  let ticks = 0;
  await advance(8_000, () => {
    ticks += 1;
    if (ticks % 5 === 0) request(`step-${ticks}`);
    if (ticks % 150 === 0 && ticks < 1_300) vms[ticks / 150 - 1]!.behaviour = 'silent';
  });
  t.true(steps.longestWait() <= LONGEST_WAIT_MILLISECONDS, `${steps.longestWait()} ms`);
});

test('a silent VM is left alone, and used again within seconds once it answers', async (t) => {
  const { vms, request, advance } = createVms(behave(3, 1, 'silent'));
  let ticks = 0;
  const load = () => {
    ticks += 1;
    if (ticks % 4 === 0) request(`step-${ticks}`);
  };
  await advance(10_000, load);
  const callsWhileSilent = vms[0]!.calls;
  vms[0]!.behaviour = 'answers';
  await advance(3_000, load);
  t.true(callsWhileSilent <= 10, `${callsWhileSilent} calls while silent`);
  t.true(vms[0]!.served >= 10, `${vms[0]!.served} calls after that`);
});

test('a VM that falls silent again soon after it has answered costs a step one short timeout', async (t) => {
  const { steps, vms, request, advance } = createVms(behave(6, 1, 'silent'));
  let ticks = 0;
  const load = () => {
    ticks += 1;
    if (ticks % 6 === 0) request(`step-${ticks}`);
  };
  await advance(10_000, load);
  const isAnswered = () => vms[0]!.served > 1;
  vms[0]!.behaviour = 'answers';
  for (let waited = 0; !isAnswered() && waited < 3_000; waited += 50) await advance(50, load);
  t.true(isAnswered());
  await advance(500);
  steps.waits.clear();
  vms[0]!.behaviour = 'silent';
  await advance(3_000, load);
  t.true(steps.longestWait() <= 500, `${steps.longestWait()} ms`);
});

test('the service is asked once about each step while all VMs answer, and hardly more beside silent ones', async (t) => {
  for (const silent of [0, 2]) {
    const { steps, request, advance, servedCalls } = createVms(behave(10, silent, 'silent'));
    let ticks = 0;
    await advance(6_000, () => {
      ticks += 1;
      if (ticks % 5 === 0) request(`step-${ticks}`);
    });
    await advance(1_000);
    const unneeded = servedCalls() - steps.waits.size;
    t.true(steps.waits.size >= 230);
    t.true(unneeded <= silent * 10, `${unneeded} of ${servedCalls()} calls with ${silent} silent`);
  }
});

test('advice that comes late is used', async (t) => {
  const { steps, request, advance } = createVms(['late']);
  request('a');
  await advance(700);
  t.true(steps.waits.get('a')! <= 700);
});

test('the endpoints of a call that is not answered are open to another call', async (t) => {
  const { cache, request, advance } = createVms(['silent']);
  request('a');
  await advance(600);
  t.is(cache.askedEndpoints('a').size, 0);
});

for (const longSilent of [2, 4, 7]) {
  test(`a step whose VM falls silent does not wait for probes of ${longSilent} others`, async (t) => {
    const { steps, vms, request, advance } = createVms(behave(10, longSilent, 'silent'));
    let ticks = 0;
    await advance(6_000, () => {
      ticks += 1;
      if (ticks % 8 === 0) request(`step-${ticks}`);
    });
    await advance(3_000);
    vms[longSilent]!.behaviour = 'silent';
    request('a');
    await advance(4_000);
    t.true(steps.waits.get('a')! <= 500, `${steps.waits.get('a')} ms`);
  });
}

for (const how of ['silent', 'refused'] as const) {
  for (const [vmCount, stepCount] of [
    [6, 1],
    [6, 3],
    [10, 3],
  ] as const) {
    test(`${stepCount} steps without advice through any of ${vmCount} VMs do not keep it from others (${how})`, async (t) => {
      const { steps, vms, request, advance } = createVms(behave(vmCount, 0, 'silent'));
      let ticks = 0;
      const load = () => {
        ticks += 1;
        if (ticks % 5 === 0) request(`step-${ticks}`);
      };
      vms.forEach((vm) => {
        vm.towardsUnanswerable = how;
      });
      await advance(500, load);
      for (let index = 0; index < stepCount; index += 1) request(`${UNANSWERABLE}-${index}`);
      await advance(8_000, load);
      await advance(1_000);
      const longest = Math.max(...steps.waits.values());
      t.is(steps.waiting.size, stepCount, `${steps.waiting.size} steps wait at the end`);
      t.true(longest <= 1.5 * LONGEST_WAIT_MILLISECONDS, `${longest} ms`);
    });
  }
}

test('an overdue answer does not replace newer tickets of another call', async (t) => {
  const { cache, vms, request, advance } = createVms(['late', 'answers']);
  request('a');
  await advance(300);
  t.is(vms[1]!.served, 1);
  const endpoint = ENDPOINTS[0]!;
  await advance(2_000);
  t.is(cache.ticketFor('a', endpoint), 'ticket');
});

test('a step that is forgotten is not asked about again', async (t) => {
  const { cache, vms, steps, request, advance } = createVms(['answers', 'silent']);
  request('a');
  request('b');
  request('c');
  await advance(10);
  cache.forgetStep('c');
  steps.waiting.delete('c');
  await advance(100);
  t.is(cache.describeStep('c'), null);
  t.is(vms[0]!.calls + vms[1]!.calls, 2);
});
