// Stand-in of a minion: starts, stops, leases, ends and fences as the platform's pages describe them.
import { performance } from 'node:perf_hooks';
import { clearInterval, clearTimeout, setInterval, setTimeout } from 'node:timers';

const STOP_MS = 100;
const LISTED_ENDS = 500;
/** What each run reports as its load. */
const LOAD = 1;

/**
 * Creates a minion that has just started.
 *
 * @param id its id, which each call names
 * @param durationOf duration of a run in milliseconds by its order; Infinity for a task that lasts
 * @param holdMaxMs longest lease
 * @param onEvent called with `started` and `ended`, the task, the run and the kind of end
 */
export function createMinion({ id, durationOf, holdMaxMs, onEvent }) {
  const born = Date.now();
  const startedAt = performance.now();
  const runs = new Map();
  /** By task: the highest run that has ended or was stopped here. */
  const closedRuns = new Map();
  const ends = [];
  const waiters = new Set();
  let fence = 0;
  let leaseEndsAt = 0;
  let nextEnd = 1;
  let isDown = false;

  const clock = () => Math.floor(performance.now() - startedAt) + 1_000;

  function endRun(task, run, kind) {
    const record = runs.get(task);
    if (!record || record.run !== run) return;
    clearTimeout(record.timer);
    clearTimeout(record.stopTimer);
    runs.delete(task);
    closedRuns.set(task, Math.max(closedRuns.get(task) ?? 0, run));
    ends.push([nextEnd, task, run, kind, '']);
    nextEnd += 1;
    onEvent({ event: 'ended', minion: id, task, run, kind });
    [...waiters].forEach((wake) => wake());
  }

  function extendLease(deadline) {
    if (typeof deadline !== 'number') return;
    leaseEndsAt = Math.max(leaseEndsAt, Math.min(deadline, clock() + holdMaxMs));
  }

  function checkLease() {
    if (runs.size === 0 || clock() < leaseEndsAt) return;
    [...runs].forEach(([task, { run }]) => endRun(task, run, 'lapsed'));
  }
  const leaseTimer = setInterval(checkLease, 20);

  const refuse = (reason) => ({ status: 409, body: { 'clock-ms': clock(), reason } });
  const accept = () => ({ status: 200, body: { 'clock-ms': clock() } });

  function start(body) {
    const { task, run, 'deadline-ms': deadline } = body;
    if (runs.get(task)?.run === run) return accept();
    if (clock() > deadline) return refuse('late');
    extendLease(deadline);
    if (run <= (closedRuns.get(task) ?? 0) || runs.has(task)) return refuse('old');
    const duration = durationOf(body);
    const timer = Number.isFinite(duration)
      ? setTimeout(() => endRun(task, run, 'done'), duration)
      : null;
    runs.set(task, { run, timer, stopTimer: null, startedAt: performance.now(), duration });
    onEvent({ event: 'started', minion: id, task, run });
    return accept();
  }

  function stop({ task, run }) {
    const record = runs.get(task);
    if (record && record.run <= run) {
      record.stopTimer ??= setTimeout(() => endRun(task, record.run, 'stopped'), STOP_MS);
    } else closedRuns.set(task, Math.max(closedRuns.get(task) ?? 0, run));
    return accept();
  }

  function describeRun([task, record]) {
    const { run, startedAt: at, duration } = record;
    const percent = Number.isFinite(duration)
      ? Math.min(99, Math.floor((100 * (performance.now() - at)) / duration))
      : 100;
    return [task, run, '', percent, LOAD];
  }

  function awaitEnd(milliseconds) {
    return new Promise((resolve) => {
      let timer = null;
      function wake() {
        clearTimeout(timer);
        waiters.delete(wake);
        resolve();
      }
      timer = setTimeout(wake, milliseconds);
      waiters.add(wake);
    });
  }

  async function hold(body) {
    extendLease(body['deadline-ms']);
    const cursor = body['ack-cursor'] ?? 0;
    while (ends.length > 0 && ends[0][0] <= cursor) ends.shift();
    const wait = Math.min(2_000, body['wait-ms'] ?? 0);
    if (wait > 0 && ends.length === 0) await awaitEnd(wait);
    return {
      status: 200,
      body: {
        'clock-ms': clock(),
        born,
        running: [...runs].map(describeRun),
        finished: ends.slice(0, LISTED_ENDS),
      },
    };
  }

  return {
    id,
    born,
    runs: () => [...runs.keys()],
    /** Ends at once, as in a crash. */
    crash() {
      isDown = true;
      clearInterval(leaseTimer);
      [...runs].forEach(([task, { run, timer, stopTimer }]) => {
        clearTimeout(timer);
        clearTimeout(stopTimer);
        onEvent({ event: 'ended', minion: id, task, run, kind: 'crashed' });
      });
      runs.clear();
      [...waiters].forEach((wake) => wake());
    },
    async answer(request, url, body) {
      if (isDown) return null;
      if (request.headers['expect-instance'] !== id) return { status: 421, body: { born } };
      const token = body['fencing-token'] ?? 0;
      if (token < fence) return refuse('fence');
      fence = token;
      if (url.pathname === '/run-start') return start(body);
      if (url.pathname === '/run-stop') return stop(body);
      if (url.pathname !== '/hold') return { status: 404, body: {} };
      const answered = await hold(body);
      return isDown ? null : answered;
    },
  };
}
