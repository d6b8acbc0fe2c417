import { createStoreClient, createSystemClock } from '@chicorybend/common';
import type { BenchOptions, BenchRow } from '@chicorybend/common';
import { startStoreStandIn } from '@chicorybend/standins';

import { createRandom } from '../utils/random.js';

const SEED = 1;
const WRITES = 200;
const SHORT_WRITES = 40;
const LOST_ANSWER_FRACTION = 0.5;
const DEADLINE_MILLISECONDS = 30_000;

/**
 * Counts the store calls per write when half of the answers are lost. The client reads the key after a lost answer,
 * so that a write that took effect is not sent again.
 */
export async function produceStoreClientRows(options: BenchOptions): Promise<readonly BenchRow[]> {
  const random = createRandom(SEED);
  let lostAnswers = 0;
  const store = await startStoreStandIn({
    random: () => {
      const value = random.fraction();
      if (value < LOST_ANSWER_FRACTION) lostAnswers += 1;
      return value;
    },
  });
  const client = createStoreClient({ address: store.address, clock: createSystemClock() });
  const writes = options.isShort ? SHORT_WRITES : WRITES;
  store.faults.lostAnswerFraction = LOST_ANSWER_FRACTION;
  for (let index = 0; index < writes; index += 1) {
    await client.put(
      { key: `key/${index}`, data: index, expectedVersion: 0 },
      { deadlineMilliseconds: DEADLINE_MILLISECONDS },
    );
  }
  const { counts } = store;
  await client.close();
  await store.close();
  return [
    {
      name: 'store client: writes sent per write, half of the answers lost',
      measured: counts.writes / writes,
      unit: 'calls',
      bound: 1,
      direction: 'at-most',
    },
    {
      name: 'store client: reads per lost answer of a write',
      measured: counts.reads / lostAnswers,
      unit: 'calls',
      bound: 1,
      direction: 'at-most',
    },
  ];
}
