// Stand-in of the platform's metadata store: conditional writes, leases, ranges and watches over HTTP on loopback.
import { Buffer } from 'node:buffer';
import { performance } from 'node:perf_hooks';
import { setTimeout } from 'node:timers';

const LATENCY_MS = 4;
const PAGE_ITEMS = 500;
const PAGE_BYTES = 1_000_000;
const MAXIMUM_ENTRIES = 32;
const MAXIMUM_KEY_BYTES = 200;
const POLL_MS = 4;

const pause = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/**
 * Creates an empty store.
 *
 * @param valueBytes largest value that it stores, in bytes
 * @param ttlMinMs shortest lease
 */
export function createStore({ valueBytes, ttlMinMs }) {
  const items = new Map();
  const leases = new Map();
  const changes = [];
  const counts = { writes: 0, oversizedWrites: 0, largestValue: 0, reads: 0 };
  let revision = 1;
  let nextLease = 1;
  /** Called with a call before it is executed; returns a replacement of the answer, or null. */
  let intercept = () => null;

  function note(key, isRemoved) {
    changes.push({ key, revision, isRemoved });
    if (changes.length > 20_000) changes.splice(0, 10_000);
  }

  function setItem(key, value, lease) {
    const known = items.get(key);
    items.set(key, {
      key,
      value,
      revision,
      'create-revision': known?.['create-revision'] ?? revision,
      lease,
    });
    note(key, false);
  }

  function removeItem(key) {
    if (!items.delete(key)) return;
    note(key, true);
  }

  function expireLeases() {
    const now = performance.now();
    leases.forEach((lease, id) => {
      if (lease.endsAt > now) return;
      leases.delete(id);
      [...items.values()].forEach((item) => {
        if (item.lease !== id) return;
        revision += 1;
        removeItem(item.key);
      });
    });
  }

  function encode(item) {
    return { ...item, value: item.value.toString('base64') };
  }

  function readKey(url) {
    const item = items.get(url.searchParams.get('key') ?? '');
    const current = { 'current-rev': revision };
    return item
      ? { status: 200, body: { ...encode(item), ...current } }
      : { status: 404, body: current };
  }

  function readRange(url) {
    const prefix = url.searchParams.get('prefix') ?? '';
    const after = url.searchParams.get('after') ?? '';
    const keys = [...items.keys()].filter((key) => key.startsWith(prefix) && key > after).sort();
    const page = [];
    let bytes = 0;
    keys.every((key) => {
      const item = items.get(key);
      if (
        page.length >= PAGE_ITEMS ||
        (page.length > 0 && bytes + item.value.length > PAGE_BYTES)
      ) {
        return false;
      }
      page.push(encode(item));
      bytes += item.value.length;
      return true;
    });
    const truncated = page.length < keys.length;
    return { status: 200, body: { items: page, truncated, 'current-rev': revision } };
  }

  async function watch(url) {
    const prefix = url.searchParams.get('prefix') ?? '';
    const after = Number(url.searchParams.get('after'));
    const endsAt =
      performance.now() + Math.min(30_000, Number(url.searchParams.get('wait-ms') ?? 0));
    for (;;) {
      expireLeases();
      const found = changes.filter(
        (change) => change.revision > after && change.key.startsWith(prefix),
      );
      if (found.length > 0 || performance.now() >= endsAt) {
        const events = found.map(({ key, revision: at, isRemoved }) =>
          isRemoved || !items.has(key)
            ? { key, revision: at, removed: true }
            : encode(items.get(key)),
        );
        return { status: 200, body: { events, 'current-rev': revision } };
      }
      await pause(POLL_MS);
    }
  }

  function isValidWrite(puts, entries) {
    const isKeyValid = ({ key }) =>
      typeof key === 'string' && Buffer.byteLength(key) <= MAXIMUM_KEY_BYTES;
    return entries <= MAXIMUM_ENTRIES && puts.every(isKeyValid);
  }

  function write(body) {
    const conditions = body.precondition ?? [];
    const puts = (body.puts ?? []).map(({ key, value, lease }) => ({
      key,
      value: Buffer.from(value, 'base64'),
      lease: lease ?? 0,
    }));
    const removals = body.remove ?? [];
    if (!isValidWrite(puts, conditions.length + puts.length + removals.length)) {
      return { status: 400, body: { error: 'invalid write' } };
    }
    const keys = [...puts.map(({ key }) => key), ...removals];
    if (keys.some((key) => key.startsWith('op/') || key.startsWith('servers/'))) {
      return { status: 403, body: {} };
    }
    const largest = Math.max(0, ...puts.map(({ value }) => value.length));
    counts.largestValue = Math.max(counts.largestValue, largest);
    if (largest > valueBytes) {
      counts.oversizedWrites += 1;
      return {
        status: 400,
        body: { error: `a value has ${largest} bytes, more than ${valueBytes}` },
      };
    }
    const isMet = conditions.every(
      ({ key, revision: expected }) => (items.get(key)?.revision ?? 0) === expected,
    );
    if (!isMet) {
      const current = conditions.flatMap(({ key }) =>
        items.has(key) ? [encode(items.get(key))] : [],
      );
      return { status: 412, body: { items: current } };
    }
    if (puts.some(({ lease }) => lease !== 0 && !leases.has(lease))) {
      return { status: 404, body: {} };
    }
    revision += 1;
    counts.writes += 1;
    puts.forEach(({ key, value, lease }) => setItem(key, value, lease));
    removals.forEach(removeItem);
    return { status: 200, body: { revision } };
  }

  function grant(body) {
    const ttl = Math.min(600_000, Math.max(ttlMinMs, Number(body['ttl-ms'])));
    const id = nextLease;
    nextLease += 1;
    leases.set(id, { ttl, endsAt: performance.now() + ttl });
    return { status: 200, body: { lease: id, 'ttl-ms': ttl } };
  }

  function keep(id) {
    const lease = leases.get(id);
    if (!lease) return { status: 404, body: {} };
    lease.endsAt = performance.now() + lease.ttl;
    return { status: 200, body: { lease: id, 'ttl-ms': lease.ttl } };
  }

  function end(id) {
    const lease = leases.get(id);
    if (lease) lease.endsAt = 0;
    expireLeases();
    return { status: 200, body: {} };
  }

  function answer(request, url, body) {
    expireLeases();
    const path = url.pathname;
    if (request.method === 'GET') counts.reads += 1;
    if (path === '/kv-key') return readKey(url);
    if (path === '/kv-range') return readRange(url);
    if (path === '/kv-watch') return watch(url);
    if (path === '/kv-txn') return write(body);
    if (path === '/kv-lease') return grant(body);
    if (path.startsWith('/kv-keep/')) return keep(Number(path.split('/')[2]));
    if (path.startsWith('/kv-lease-end/')) return end(Number(path.split('/')[2]));
    return { status: 404, body: {} };
  }

  return {
    counts,
    /** Writes as the operator or a minion does. */
    put(key, value) {
      revision += 1;
      setItem(key, Buffer.from(typeof value === 'string' ? value : JSON.stringify(value)), 0);
    },
    remove(key) {
      revision += 1;
      removeItem(key);
    },
    get: (key) => items.get(key)?.value.toString() ?? null,
    setIntercept(next) {
      intercept = next;
    },
    async answer(request, url, body) {
      await pause(LATENCY_MS);
      return intercept(request, url, body) ?? answer(request, url, body);
    },
  };
}
