import { Buffer } from 'node:buffer';
import { clearTimeout, setTimeout } from 'node:timers';

import { sleep, startServer } from './http.mjs';

const PAGE_ITEMS = 500;
const MAXIMUM_WAIT_MS = 30_000;
const ANSWER_MS = 4;

/**
 * Starts a stand-in of the platform's metadata store, as PROTOCOL describes it. Nothing is lost or late.
 *
 * @param options.onWritten called with the keys of each write that was executed, before its answer is sent
 */
export async function startStore(options = {}) {
  const items = new Map();
  const events = [];
  const leases = new Map();
  const waiting = new Set();
  let revision = 1;
  let lastLease = 0;

  function notify() {
    [...waiting].forEach((wake) => wake());
  }

  function encodeItem(key) {
    const item = items.get(key);
    if (!item) return { key, value: '', revision: 0, 'create-revision': 0, lease: 0 };
    return {
      key,
      value: item.value,
      revision: item.revision,
      'create-revision': item.createRevision,
      lease: item.lease,
    };
  }

  function apply(puts, removals) {
    revision += 1;
    puts.forEach(({ key, value, lease = 0 }) => {
      const createRevision = items.get(key)?.createRevision ?? revision;
      items.set(key, { value, revision, createRevision, lease });
      events.push(encodeItem(key));
    });
    removals
      .filter((key) => items.delete(key))
      .forEach((key) => events.push({ key, revision, removed: true }));
    notify();
    return revision;
  }

  function endLease(id) {
    const lease = leases.get(id);
    if (!lease) return;
    clearTimeout(lease.timer);
    leases.delete(id);
    const keys = [...items].filter(([, item]) => item.lease === id).map(([key]) => key);
    if (keys.length > 0) apply([], keys);
  }

  function keepLease(id) {
    const lease = leases.get(id);
    if (!lease) return false;
    clearTimeout(lease.timer);
    lease.timer = setTimeout(() => endLease(id), lease.ttlMs);
    return true;
  }

  function eventsAfter(prefix, after) {
    return events.filter((event) => event.revision > after && event.key.startsWith(prefix));
  }

  async function watch(prefix, after, waitMs) {
    if (eventsAfter(prefix, after).length === 0 && waitMs > 0) {
      await new Promise((resolve) => {
        let timer = null;
        const wake = () => {
          if (timer !== null && eventsAfter(prefix, after).length === 0) return;
          clearTimeout(timer);
          waiting.delete(wake);
          resolve();
        };
        timer = setTimeout(
          () => {
            timer = null;
            wake();
          },
          Math.min(waitMs, MAXIMUM_WAIT_MS),
        );
        waiting.add(wake);
      });
    }
    return { status: 200, body: { events: eventsAfter(prefix, after), 'current-rev': revision } };
  }

  function range(prefix, after) {
    const keys = [...items.keys()].filter((key) => key.startsWith(prefix) && key > after).sort();
    return {
      status: 200,
      body: {
        items: keys.slice(0, PAGE_ITEMS).map(encodeItem),
        truncated: keys.length > PAGE_ITEMS,
        'current-rev': revision,
      },
    };
  }

  function transact({ precondition = [], puts = [], remove = [] }) {
    const holds = precondition.every(
      ({ key, revision: known }) => (items.get(key)?.revision ?? 0) === known,
    );
    if (!holds) {
      return { status: 412, body: { items: precondition.map(({ key }) => encodeItem(key)) } };
    }
    if (puts.some(({ lease = 0 }) => lease !== 0 && !leases.has(lease))) return { status: 404 };
    const written = apply(puts, remove);
    options.onWritten?.(puts.map(({ key }) => key));
    return { status: 200, body: { revision: written } };
  }

  async function answer(request, url, body) {
    const parameter = (name) => url.searchParams.get(name) ?? '';
    const [, call, id] = url.pathname.split('/');
    if (call === 'kv-watch') {
      return watch(parameter('prefix'), Number(parameter('after')), Number(parameter('wait-ms')));
    }
    await sleep(ANSWER_MS);
    if (call === 'kv-key') {
      const key = parameter('key');
      const status = items.has(key) ? 200 : 404;
      const item = status === 200 ? encodeItem(key) : {};
      return { status, body: { ...item, 'current-rev': revision } };
    }
    if (call === 'kv-range') return range(parameter('prefix'), parameter('after'));
    if (call === 'kv-txn') return transact(body);
    if (call === 'kv-lease') {
      lastLease += 1;
      const ttlMs = Math.max(1_000, Number(body['ttl-ms']));
      leases.set(lastLease, { ttlMs, timer: null });
      keepLease(lastLease);
      return { status: 200, body: { lease: lastLease, 'ttl-ms': ttlMs } };
    }
    if (call === 'kv-keep') return { status: keepLease(Number(id)) ? 200 : 404, body: {} };
    if (call === 'kv-lease-end') {
      endLease(Number(id));
      return { status: 200, body: {} };
    }
    return { status: 404 };
  }

  const server = await startServer(answer);
  return {
    address: server.address,
    /** Writes a value as the operator or a server does. */
    put(key, value) {
      return apply([{ key, value: Buffer.from(JSON.stringify(value)).toString('base64') }], []);
    },
    remove(key) {
      if (items.has(key)) apply([], [key]);
    },
    /** @returns the decoded value of a key; null if there is none */
    read(key) {
      const item = items.get(key);
      return item ? JSON.parse(Buffer.from(item.value, 'base64').toString()) : null;
    },
    close() {
      [...leases.values()].forEach(({ timer }) => clearTimeout(timer));
      server.close();
    },
  };
}
