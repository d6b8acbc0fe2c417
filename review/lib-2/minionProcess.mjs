// Some minions in a thread of their own, so that the minions answer side by side as machines do.
import { clearInterval, setInterval } from 'node:timers';
import { parentPort, workerData } from 'node:worker_threads';

import { createMinion } from './minion.mjs';
import { serve } from './serve.mjs';

const EVENT_INTERVAL_MS = 20;

const { ids, holdMaxMs } = workerData;
let events = [];

const minions = ids.map((id) =>
  createMinion({
    id,
    holdMaxMs,
    // The payload of the cases tells how long a run takes; `Infinity` lasts.
    durationOf: ({ 'task-spec': text }) => Number(text),
    onEvent: (event) => events.push({ ...event, time: Date.now() }),
  }),
);
const servers = [];
for (const minion of minions) {
  servers.push(await serve(minion.answer));
}

function sendEvents() {
  if (events.length > 0) {
    parentPort.postMessage({ kind: 'events', events });
    events = [];
  }
}
const timer = setInterval(sendEvents, EVENT_INTERVAL_MS);

parentPort.on('message', () => {
  clearInterval(timer);
  minions.forEach((minion) => minion.crash());
  servers.forEach((server) => {
    server.close();
    server.closeAllConnections();
  });
  parentPort.close();
});
parentPort.postMessage({
  kind: 'listening',
  minions: minions.map(({ id, born }, index) => ({
    id,
    born,
    port: servers[index].address().port,
  })),
});
