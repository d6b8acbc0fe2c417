// The store in a thread of its own, so that work of the other stand-ins does not delay its answers.
import { parentPort, workerData } from 'node:worker_threads';

import { serve } from './serve.mjs';
import { createStore } from './store.mjs';

const store = createStore(workerData);
const server = await serve(store.answer);

parentPort.on('message', ({ kind, key, value }) => {
  if (kind === 'put') {
    store.put(key, value);
  } else if (kind === 'remove') {
    store.remove(key);
  } else if (kind === 'read') {
    parentPort.postMessage({ kind, value: store.get(key) });
  } else if (kind === 'counts') {
    parentPort.postMessage({ kind, counts: store.counts });
  } else {
    server.close();
    server.closeAllConnections();
    parentPort.close();
  }
});
parentPort.postMessage({ kind: 'listening', port: server.address().port });
