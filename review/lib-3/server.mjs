import { performance } from 'node:perf_hooks';
import { clearInterval, clearTimeout, setInterval, setTimeout } from 'node:timers';

import { startServer } from './http.mjs';
import { startProxy } from './proxy.mjs';

const HEARTBEAT_MS = 1_500;
const HOLD_MAX_MS = 10_000;
const STOP_MS = 50;
const STARTUP_MS = 200;
const LISTED_ENDS = 500;
/** An entry is removed after three check-in intervals of silence. */
const SILENCE_MS = 3 * HEARTBEAT_MS;

/**
 * Starts a stand-in of a server (minion), as PROTOCOL describes it. What a task does stands as JSON in the `task-spec`
 * of its job: `runMs` (null: it lasts), `failMs` (it fails by its own fault that long after its start), `tailMs` (tail
 * of a task that serves), `cpu`.
 *
 * @param options.store stand-in of the store, where the server registers
 * @param options.onRun called with each run when it starts and when it ends
 * @param options.isProxied whether the server can be cut off
 * @param options.onOrder called with the path and the body of each order; resolves to an answer that takes the place of
 *   the server's own, to null for none, or to undefined to carry the order out
 * @param options.tailOf returns the tail of a serving task in ms; by default that of its `task-spec`
 */
export async function startMinion(options) {
  const { store, zone, labels, service, capacity } = options;
  const onRun = options.onRun ?? (() => {});
  const tailOf = options.tailOf ?? (({ spec }) => spec.tailMs ?? 0);
  let { id } = options;
  let life = null;
  let server = null;
  let port = 0;
  let sequence = 0;
  let removal = null;
  /** Carries the system's connections to this server; cut where the server is cut off. */
  let proxy = null;
  let isCut = false;

  function createLife() {
    return {
      born: Date.now(),
      startedAt: performance.now(),
      fence: 0,
      deadline: 0,
      running: new Map(),
      highestEnded: new Map(),
      finished: [],
      endedRuns: new Map(),
      lastEnd: 0,
      waiting: new Set(),
      leaseTimer: null,
    };
  }

  function clockOf(current) {
    return Math.floor(performance.now() - current.startedAt);
  }

  function register(state = 'ready', drainRemainingMs = undefined) {
    if (isCut) return;
    sequence += 1;
    clearTimeout(removal);
    store.put(`servers/${id}`, {
      service,
      address: proxy?.address ?? `127.0.0.1:${port}`,
      zone,
      version: '1',
      slots: 8,
      state,
      'cold-remaining-ms': 0,
      sequence,
      capacity,
      labels,
      born: life.born,
      ...(drainRemainingMs === undefined ? {} : { 'drain-remaining-ms': drainRemainingMs }),
    });
  }

  function endRun(current, run, how) {
    if (current.running.get(run.task) !== run) return;
    current.running.delete(run.task);
    clearTimeout(run.timer);
    current.highestEnded.set(run.task, Math.max(current.highestEnded.get(run.task) ?? 0, run.run));
    current.lastEnd += 1;
    current.finished.push([current.lastEnd, run.task, run.run, how, '']);
    current.endedRuns.set(current.lastEnd, run);
    run.endedAt = Date.now();
    run.how = how;
    onRun(run, minion);
    [...current.waiting].forEach((wake) => wake());
  }

  function checkLease(current) {
    clearTimeout(current.leaseTimer);
    const remaining = current.deadline - clockOf(current);
    if (remaining > 0) {
      current.leaseTimer = setTimeout(() => checkLease(current), remaining + 1);
      return;
    }
    [...current.running.values()].forEach((run) => endRun(current, run, 'lapsed'));
  }

  function extendLease(current, deadline) {
    if (typeof deadline !== 'number') return;
    current.deadline = Math.max(
      current.deadline,
      Math.min(deadline, clockOf(current) + HOLD_MAX_MS),
    );
    checkLease(current);
  }

  function start(current, body) {
    const { task, run } = body;
    if (current.running.get(task)?.run === run) return { status: 200, body: {} };
    if (run <= (current.highestEnded.get(task) ?? 0)) {
      extendLease(current, body['deadline-ms']);
      return { status: 409, body: { reason: 'old' } };
    }
    if (body['deadline-ms'] <= clockOf(current)) return { status: 409, body: { reason: 'late' } };
    extendLease(current, body['deadline-ms']);
    const spec = JSON.parse(body['task-spec']);
    const started = { task, run, spec, minion: id, born: current.born, startedAt: Date.now() };
    current.running.set(task, started);
    if (typeof spec.failMs === 'number') {
      started.timer = setTimeout(() => endRun(current, started, 'failed'), spec.failMs);
    } else if (typeof spec.runMs === 'number') {
      started.timer = setTimeout(() => endRun(current, started, 'done'), spec.runMs);
    }
    onRun(started, minion);
    return { status: 200, body: {} };
  }

  function stop(current, { task, run }) {
    const known = current.running.get(task);
    if (known?.run === run) setTimeout(() => endRun(current, known, 'stopped'), STOP_MS);
    else {
      current.highestEnded.set(task, Math.max(current.highestEnded.get(task) ?? 0, run));
    }
    return { status: 200, body: {} };
  }

  function describeRun(run) {
    const age = Date.now() - run.startedAt;
    const { runMs, cpu = 100 } = run.spec;
    const percent =
      typeof runMs === 'number'
        ? Math.min(99, Math.floor((100 * age) / runMs))
        : Number(age >= STARTUP_MS) * 100;
    const isServing = typeof run.spec.tailMs === 'number';
    return [run.task, run.run, '', percent, isServing ? tailOf(run, minion) : cpu];
  }

  async function hold(current, body) {
    extendLease(current, body['deadline-ms']);
    const cursor = body['ack-cursor'] ?? 0;
    current.finished
      .filter(([number]) => number <= cursor)
      .forEach(([number]) => Object.assign(current.endedRuns.get(number), { isNoted: true }));
    current.finished = current.finished.filter(([number]) => number > cursor);
    const waitMs = Math.min(2_000, body['wait-ms'] ?? 0);
    if (current.finished.length === 0 && waitMs > 0) {
      await new Promise((resolve) => {
        const wake = () => {
          current.waiting.delete(wake);
          resolve();
        };
        current.waiting.add(wake);
        setTimeout(wake, waitMs);
      });
    }
    return {
      status: 200,
      body: {
        running: [...current.running.values()].map(describeRun),
        finished: current.finished.slice(0, LISTED_ENDS),
      },
    };
  }

  async function answerOrder(current, path, body) {
    const token = body['fencing-token'] ?? 0;
    if (token < current.fence) return { status: 409, body: { reason: 'fence' } };
    current.fence = token;
    if (path === '/run-start') return start(current, body);
    if (path === '/run-stop') return stop(current, body);
    if (path === '/hold') return hold(current, body);
    if (path === '/pace') return { status: 200, body: {} };
    return { status: 404 };
  }

  async function answer(request, url, body) {
    const current = life;
    const expected = request.headers['expect-instance'];
    if (expected !== undefined && expected !== id) return { status: 421, body: {} };
    if (options.onOrder) {
      const intercepted = await options.onOrder(url.pathname, body, minion);
      if (intercepted !== undefined) return intercepted;
    }
    const answered = await answerOrder(current, url.pathname, body);
    // A process that has crashed meanwhile does not answer.
    if (life !== current) return null;
    const clock = { 'clock-ms': clockOf(current), born: current.born };
    return { ...answered, body: { ...clock, ...answered.body } };
  }

  const minion = {
    id: () => id,
    born: () => life?.born ?? 0,
    machine: options.id,
    zone,
    labels,
    capacity,
    isUp: () => life !== null,
    /** @returns runs that execute now */
    running: () => (life ? [...life.running.values()] : []),
    /** Lets a run that executes fail by its own fault. */
    fail(run) {
      if (life) endRun(life, run, 'failed');
    },
    /** Executes an order now, as if it had arrived only now. */
    executeLate: (path, body) => (life ? answerOrder(life, path, body) : null),
    /** Cuts the server off from the system and from the store, until it is healed. */
    cut() {
      isCut = true;
      proxy.cut();
      removal = setTimeout(() => store.remove(`servers/${id}`), SILENCE_MS);
    },
    heal() {
      isCut = false;
      proxy.heal();
      if (life) register();
    },
    /** Ends the process without a word: connections break, and what ran is lost. */
    crash() {
      if (!life) return;
      const { running } = life;
      clearTimeout(life.leaseTimer);
      life = null;
      server.close();
      running.forEach((run) => {
        clearTimeout(run.timer);
        run.endedAt = Date.now();
        run.how = 'lost';
        onRun(run, minion);
      });
      if (!isCut) removal = setTimeout(() => store.remove(`servers/${id}`), SILENCE_MS);
    },
    /** Starts the process again, under its id or another one, at the same address. */
    async restart(nextId = id) {
      if (nextId !== id) store.remove(`servers/${id}`);
      id = nextId;
      life = createLife();
      server = await startServer(answer, '127.0.0.1', port);
      port = server.port;
      if (options.isProxied) proxy ??= await startProxy(`127.0.0.1:${port}`);
      register();
    },
    close() {
      clearInterval(heartbeat);
      clearTimeout(removal);
      minion.crash();
      clearTimeout(removal);
      proxy?.close();
    },
  };
  const heartbeat = setInterval(() => {
    if (life) register();
  }, HEARTBEAT_MS);
  await minion.restart();
  return minion;
}
