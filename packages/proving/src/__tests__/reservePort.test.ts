import test from 'ava';

import { reservePort } from '../utils/reservePort.js';

const HOST = '127.0.0.1';

test.serial(
  'a reserved port is not handed out again until it is released, even if it is drawn again',
  async (t) => {
    const draws = [0.5, 0.5, 0.25];
    const { random } = Math;
    t.teardown(() => {
      Math.random = random;
    });
    Math.random = () => draws.shift() ?? random();
    const first = await reservePort(HOST);
    const second = await reservePort(HOST);
    t.not(first.port, second.port);
    const third = await reservePort(HOST, first.port);
    t.not(third.port, first.port);
    await Promise.all([first, second, third].map(({ release }) => release()));
    const again = await reservePort(HOST, first.port);
    t.is(again.port, first.port);
    await again.release();
  },
);
