// Stand-in of the platform's metadata store, after PROTOCOL.md.
import { Buffer } from 'node:buffer';
import { performance } from 'node:perf_hooks';
import { setTimeout, clearTimeout } from 'node:timers';
import { URL } from 'node:url';

import { listen, readJson, sendJson } from './http.mjs';

const PAGE_ITEMS = 500;
const ANSWER_MILLISECONDS = 4;
const MAXIMUM_VALUE_BYTES = 1_048_576;

function pause(milliseconds) {
  return new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });
}

/**
 * Starts a store.
 *
 * @param host loopback address
 * @param port port
 * @param options.losesAnswer called with each transaction after it was carried out; if it returns true, the answer is
 *   not sent, and the connection stays silent
 * @param options.onTooLarge called with the keys and lengths of a transaction that is refused because of a value
 */
export async function startStore(host, port, options = {}) {
  const items = new Map();
  const events = [];
  const waiters = new Set();
  const leases = new Map();
  let revision = 10;
  let lastLease = 1_000;
  const statistics = { writes: 0, lostAnswers: 0 };

  function notify() {
    [...waiters].forEach((check) => check());
  }

  function put(key, value, lease = 0) {
    const known = items.get(key);
    const item = {
      key,
      value: Buffer.from(value, 'utf8').toString('base64'),
      revision,
      'create-revision': known ? known['create-revision'] : revision,
      lease,
    };
    items.set(key, item);
    events.push(item);
  }

  function remove(key) {
    if (!items.delete(key)) return;
    events.push({ key, revision, removed: true });
  }

  function endLease(id) {
    const lease = leases.get(id);
    if (!lease) return false;
    clearTimeout(lease.timer);
    leases.delete(id);
    revision += 1;
    [...items.values()].filter((item) => item.lease === id).forEach(({ key }) => remove(key));
    notify();
    return true;
  }

  function armLease(id, ttl) {
    clearTimeout(leases.get(id)?.timer);
    const timer = setTimeout(() => endLease(id), ttl);
    timer.unref();
    leases.set(id, { ttl, timer });
  }

  function current(key) {
    return items.get(key) ?? { key, value: '', revision: 0, 'create-revision': 0, lease: 0 };
  }

  function applyTransaction(body) {
    const { precondition = [], puts = [], remove: removals = [] } = body;
    if (precondition.length + puts.length + removals.length > 32) return { status: 400 };
    const isTooLarge = puts.some(
      ({ value }) => Buffer.byteLength(value, 'base64') > MAXIMUM_VALUE_BYTES,
    );
    if (isTooLarge) {
      options.onTooLarge?.(puts.map(({ key, value }) => [key, Buffer.byteLength(value, 'base64')]));
      return { status: 400 };
    }
    if (puts.some(({ lease }) => lease && !leases.has(lease))) return { status: 404 };
    const isMet = precondition.every((row) => current(row.key).revision === row.revision);
    if (!isMet) {
      return { status: 412, body: { items: precondition.map(({ key }) => current(key)) } };
    }
    revision += 1;
    puts.forEach(({ key, value, lease }) =>
      put(key, Buffer.from(value, 'base64').toString('utf8'), lease ?? 0),
    );
    removals.forEach(remove);
    notify();
    return { status: 200, body: { revision } };
  }

  async function watch(response, query) {
    const prefix = query.get('prefix') ?? '';
    const after = Number(query.get('after'));
    const find = () =>
      events.filter((event) => event.revision > after && event.key.startsWith(prefix));
    await new Promise((resolve) => {
      const finish = () => {
        waiters.delete(check);
        clearTimeout(timer);
        resolve();
      };
      const check = () => {
        if (find().length > 0) finish();
      };
      const timer = setTimeout(finish, Math.min(30_000, Number(query.get('wait-ms'))));
      waiters.add(check);
      response.once('close', finish);
      check();
    });
    sendJson(response, 200, { events: find(), 'current-rev': revision });
  }

  function answerLease(response, path, method, body) {
    if (path === '/kv-lease') {
      lastLease += 1;
      armLease(lastLease, body['ttl-ms']);
      sendJson(response, 200, { lease: lastLease, 'ttl-ms': body['ttl-ms'] });
      return;
    }
    const id = Number(path.split('/')[2]);
    if (method === 'DELETE') {
      sendJson(response, endLease(id) ? 200 : 404);
      return;
    }
    const lease = leases.get(id);
    if (lease) armLease(id, lease.ttl);
    sendJson(response, lease ? 200 : 404, lease ? { 'ttl-ms': lease.ttl } : {});
  }

  async function handle(request, response) {
    const { pathname, searchParams } = new URL(request.url, 'http://store');
    const body = await readJson(request);
    const { remotePort } = request.socket;
    if (pathname === '/kv-watch') {
      await watch(response, searchParams);
      return;
    }
    if (pathname === '/kv-txn') {
      const answer = applyTransaction(body);
      statistics.writes += 1;
      await pause(ANSWER_MILLISECONDS);
      if (options.losesAnswer?.({ body, answer, remotePort })) {
        statistics.lostAnswers += 1;
        return;
      }
      sendJson(response, answer.status, answer.body);
      return;
    }
    await pause(ANSWER_MILLISECONDS);
    if (pathname === '/kv-key') {
      const item = items.get(searchParams.get('key'));
      sendJson(response, item ? 200 : 404, { ...item, 'current-rev': revision });
    } else if (pathname === '/kv-range') {
      const prefix = searchParams.get('prefix') ?? '';
      const after = searchParams.get('after') ?? '';
      const matching = [...items.values()]
        .filter(({ key }) => key.startsWith(prefix) && key > after)
        .sort((left, right) => (left.key < right.key ? -1 : 1));
      sendJson(response, 200, {
        items: matching.slice(0, PAGE_ITEMS),
        truncated: matching.length > PAGE_ITEMS,
        'current-rev': revision,
      });
    } else answerLease(response, pathname, request.method, body);
  }

  const server = await listen(host, port, handle);
  return {
    address: `${host}:${server.address().port}`,
    statistics,
    /** Writes a key as the operator or an endpoint would. */
    write(key, value) {
      revision += 1;
      put(key, JSON.stringify(value));
      notify();
    },
    remove(key) {
      revision += 1;
      remove(key);
      notify();
    },
    /** @returns value of a key as text; null if it is absent */
    read(key) {
      const item = items.get(key);
      return item ? Buffer.from(item.value, 'base64').toString('utf8') : null;
    },
    keys: (prefix) => [...items.keys()].filter((key) => key.startsWith(prefix)),
    /** @returns milliseconds of the steady clock */
    now: () => performance.now(),
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}
