import test from 'ava';
import fc from 'fast-check';

import { createRequestQueue } from '../index.js';
import type { QueuedRequest } from '../index.js';
import { PROPERTY_PARAMETERS } from './properties.js';

const SERVICE_MILLISECONDS = 5;
const TEAMS = ['alder', 'birch', 'cedar'];

const createQueue = (maximumPerTeam: number) =>
  createRequestQueue<number>({
    maximumPerTeam,
    expectedServiceMilliseconds: () => SERVICE_MILLISECONDS,
  });

const stepsArbitrary = fc.array(
  fc.oneof(
    fc.record({
      kind: fc.constant('push' as const),
      team: fc.constantFrom(...TEAMS),
      patience: fc.nat(100),
    }),
    fc.record({ kind: fc.constantFrom('shift' as const, 'expire' as const), elapsed: fc.nat(10) }),
  ),
  { maxLength: 150 },
);

test('every request leaves once: served in time and in order of its team, or expired', (t) => {
  fc.assert(
    fc.property(stepsArbitrary, (steps) => {
      const queue = createQueue(5);
      const waiting: QueuedRequest<number>[] = [];
      const leave = (request: QueuedRequest<number>): void => {
        const position = waiting.indexOf(request);
        if (position < 0) throw new Error('the request left twice');
        waiting.splice(position, 1);
      };
      let now = 0;
      steps.forEach((step, index) => {
        if (step.kind === 'push') {
          const request = { team: step.team, item: index, deadlineAt: now + step.patience };
          const isFull = queue.sizeOf(step.team) >= 5;
          if (queue.push(request) === isFull) throw new Error('the bound of a team does not hold');
          if (!isFull) waiting.push(request);
          return;
        }
        now += step.elapsed;
        if (step.kind === 'shift') {
          const request = queue.shift(now);
          if (!request) return;
          if (request.deadlineAt - now < SERVICE_MILLISECONDS) throw new Error('served too late');
          const isServable = (other: QueuedRequest<number>): boolean =>
            other.team === request.team && other.deadlineAt - now >= SERVICE_MILLISECONDS;
          if (waiting.find(isServable) !== request) throw new Error('overtaken within its team');
          leave(request);
          return;
        }
        queue.removeExpired(now).forEach((request) => {
          if (request.deadlineAt - now >= SERVICE_MILLISECONDS) throw new Error('expired early');
          leave(request);
        });
        if (queue.size() !== waiting.length) throw new Error('an expired request was kept');
      });
    }),
    PROPERTY_PARAMETERS,
  );
  t.pass();
});

test('teams that always wait are served in proportion to their shares', (t) => {
  fc.assert(
    fc.property(fc.tuple(...TEAMS.map(() => fc.integer({ min: 1, max: 9 }))), (weights) => {
      const queue = createQueue(1_000);
      queue.setShares(Object.fromEntries(TEAMS.map((team, index) => [team, weights[index]!])));
      const served: Record<string, number> = Object.fromEntries(TEAMS.map((team) => [team, 0]));
      TEAMS.forEach((team) => {
        for (let item = 0; item < 1_000; item += 1) queue.push({ team, item, deadlineAt: 1e9 });
      });
      for (let index = 0; index < 600; index += 1) served[queue.shift(0)!.team]! += 1;
      const total = weights.reduce((sum, weight) => sum + weight, 0);
      TEAMS.forEach((team, index) => {
        const fair = (600 * weights[index]!) / total;
        // One request per round may be carried over in each direction.
        if (Math.abs(served[team]! - fair) > TEAMS.length) throw new Error(JSON.stringify(served));
      });
    }),
    PROPERTY_PARAMETERS,
  );
  t.pass();
});

test('a team with a long queue does not delay the first request of another team', (t) => {
  const queue = createQueue(1_000);
  for (let item = 0; item < 1_000; item += 1) queue.push({ team: 'alder', item, deadlineAt: 1e9 });
  queue.shift(0);
  queue.push({ team: 'birch', item: 0, deadlineAt: 1e9 });
  const teams = Array.from({ length: 3 }, () => queue.shift(0)!.team);
  t.true(teams.includes('birch'));
});

test('a request that expired while another was shifted is still handed out for its refusal', (t) => {
  const queue = createQueue(10);
  queue.push({ team: 'alder', item: 1, deadlineAt: 4 });
  queue.push({ team: 'alder', item: 2, deadlineAt: 100 });
  t.is(queue.shift(0)?.item, 2);
  t.deepEqual(
    queue.removeExpired(0).map(({ item }) => item),
    [1],
  );
  t.deepEqual(queue.removeExpired(0), []);
});
