import { createSilentLog, createSystemClock, InvariantError } from '@chicorybend/common';
import test from 'ava';

import { createDaemonLifecycle } from '../core/daemonLifecycle.js';
import { createDaemonStop } from '../core/daemonStop.js';
import type { DrainOutcome } from '../core/ownership.js';
import { pause, waitUntil } from './interactiveStubs.js';

const DEADLINE_MILLISECONDS = 5_000;
/** Longer than the grace and several turns of the drain. */
const OBSERVATION_MILLISECONDS = 1_500;

interface StopOptions {
  readonly deadlineMilliseconds?: number;
  readonly handover?: DrainOutcome;
  /** Whether the records of a daemon without a successor become durable in time. */
  readonly isDurable?: boolean;
  /** Calls taken against the rule, after the wait for the last one. */
  readonly lateCalls?: number;
}

/** A planned stop over stubs that note the order of its steps. */
function createStop(options: StopOptions = {}) {
  const steps: string[] = [];
  const inFlight = { calls: 0, executions: 0 };
  const lifecycle = createDaemonLifecycle(createSilentLog());
  lifecycle.advance('JOINED');
  const stop = createDaemonStop({
    clock: createSystemClock(),
    lifecycle: lifecycle,
    callerApi: {
      startDrain() {
        steps.push('refuse');
      },
      inFlight: () => inFlight.calls,
    },
    http: { closeConnectionsAfterAnswers: () => {} },
    router: { inFlight: () => inFlight.executions },
    ownership: {
      async drain() {
        steps.push('hand over');
        return options.handover ?? 'handed-over';
      },
      async releaseAll() {
        steps.push('finish');
        return options.isDurable ?? true;
      },
    },
    membership: {
      async leave() {
        steps.push('leave');
        inFlight.calls += options.lateCalls ?? 0;
      },
    },
    drainDeadlineMilliseconds: options.deadlineMilliseconds ?? DEADLINE_MILLISECONDS,
    async closeAll() {
      steps.push('close');
    },
  });
  return { stop, steps, flights: inFlight };
}

(['calls', 'executions'] as const).forEach((kind) => {
  const whose = kind === 'calls' ? 'an own caller' : "another daemon's caller";
  test(`a planned stop neither leaves nor closes before the request of ${whose} has ended`, async (t) => {
    const { stop, steps, flights } = createStop();
    flights[kind] = 1;
    const stopped = stop();
    await waitUntil(() => steps.includes('hand over'));
    await pause(OBSERVATION_MILLISECONDS);
    t.deepEqual(steps, ['refuse', 'hand over']);
    flights[kind] = 0;
    t.is(await stopped, 'drained');
    t.deepEqual(steps, ['refuse', 'hand over', 'leave', 'close']);
  });
});

test('a stop that its deadline ends with a request in flight does not count as drained', async (t) => {
  const { stop, steps, flights } = createStop({ deadlineMilliseconds: 1_200 });
  flights.executions = 1;
  t.is(await stop(), 'deadline');
  t.deepEqual(steps, ['refuse', 'hand over', 'leave', 'close']);
});

test('the last daemon finishes its requests, then makes its records durable, and is drained', async (t) => {
  const { stop, steps, flights } = createStop({ handover: 'no-successor' });
  flights.executions = 1;
  const stopped = stop();
  await waitUntil(() => steps.includes('hand over'));
  await pause(OBSERVATION_MILLISECONDS);
  t.deepEqual(steps, ['refuse', 'hand over']);
  flights.executions = 0;
  t.is(await stopped, 'drained');
  t.deepEqual(steps, ['refuse', 'hand over', 'finish', 'leave', 'close']);
});

test('the last daemon is not drained if its records are not durable in time', async (t) => {
  const { stop } = createStop({ handover: 'no-successor', isDurable: false });
  t.is(await stop(), 'deadline');
});

test('a planned stop that would interrupt a call breaks an invariant', async (t) => {
  const { stop, steps } = createStop({ lateCalls: 1 });
  await t.throwsAsync(stop(), { instanceOf: InvariantError, message: /drained-idle/ });
  t.false(steps.includes('close'));
});
