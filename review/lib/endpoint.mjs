// One life of an endpoint (a minion of PROTOCOL.md) as a process of its own. It gets its settings as JSON in the first
// argument, and tells its parent over IPC what starts, ends and is acknowledged.
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { clearTimeout, setInterval, setTimeout } from 'node:timers';

import { listen, readJson, sendJson } from './http.mjs';

const settings = JSON.parse(process.argv[2]);
const { id, host, innerPort, holdMaximum, stopMilliseconds } = settings;
const born = Date.now();
const running = new Map();
/** By task: highest run that was stopped or has ended here. */
const closedRuns = new Map();
const waiters = new Set();
let ends = [];
let lastEnd = 0;
let highestFence = 0;
let leaseEndsAt = 0;
let leaseTimer = null;

function clock() {
  return Math.floor(performance.now());
}

function tell(event) {
  process.send?.({ ...event, born });
}

function end(run, how) {
  if (running.get(run.task) !== run) return;
  running.delete(run.task);
  clearTimeout(run.timer);
  closedRuns.set(run.task, Math.max(closedRuns.get(run.task) ?? 0, run.run));
  lastEnd += 1;
  ends.push([lastEnd, run.task, run.run, how, '']);
  tell({ event: 'end', task: run.task, run: run.run, how, number: lastEnd });
  [...waiters].forEach((wake) => wake());
}

function checkLease() {
  const left = leaseEndsAt - clock();
  if (left <= 0) [...running.values()].forEach((run) => end(run, 'lapsed'));
  else leaseTimer = setTimeout(checkLease, left);
}

function extendLease(deadline) {
  if (!(deadline > 0)) return;
  leaseEndsAt = Math.max(leaseEndsAt, Math.min(deadline, clock() + holdMaximum));
  clearTimeout(leaseTimer);
  leaseTimer = setTimeout(checkLease, Math.max(0, leaseEndsAt - clock()));
}

function start(order) {
  const { task, run } = order;
  const known = running.get(task);
  if (known?.run === run) return { status: 200 };
  if (order['deadline-ms'] <= clock()) return { status: 409, reason: 'late' };
  if (known || run <= (closedRuns.get(task) ?? 0)) {
    extendLease(order['deadline-ms']);
    return { status: 409, reason: 'old' };
  }
  const { ms } = JSON.parse(order['task-spec']);
  const entry = { task, run, startedAt: clock(), ms, timer: null };
  running.set(task, entry);
  if (ms > 0) entry.timer = setTimeout(() => end(entry, 'done'), ms);
  extendLease(order['deadline-ms']);
  tell({ event: 'start', task, run });
  return { status: 200 };
}

function stop({ task, run }) {
  const known = running.get(task);
  closedRuns.set(task, Math.max(closedRuns.get(task) ?? 0, run));
  if (known && known.run <= run) setTimeout(() => end(known, 'stopped'), stopMilliseconds);
  return { status: 200 };
}

function percent({ startedAt, ms }) {
  if (!(ms > 0)) return 100;
  return Math.min(99, Math.floor((100 * (clock() - startedAt)) / ms));
}

async function hold(response, order) {
  extendLease(order['deadline-ms']);
  const acknowledged = order['ack-cursor'] ?? 0;
  ends
    .filter(([number]) => number <= acknowledged)
    .forEach(([number, task, run, how]) => tell({ event: 'noted', task, run, how, number }));
  ends = ends.filter(([number]) => number > acknowledged);
  const wait = Math.min(2_000, order['wait-ms'] ?? 0);
  if (wait > 0 && ends.length === 0) {
    await new Promise((resolve) => {
      const finish = () => {
        clearTimeout(timer);
        waiters.delete(finish);
        resolve();
      };
      const timer = setTimeout(finish, wait);
      waiters.add(finish);
      response.once('close', finish);
    });
  }
  return {
    running: [...running.values()].map((run) => [run.task, run.run, '', percent(run), 0]),
    finished: ends.slice(0, 500),
  };
}

async function handle(request, response) {
  const order = await readJson(request);
  const answer = (status, body = {}) =>
    sendJson(response, status, { 'clock-ms': clock(), born, ...body });
  if (request.headers['expect-instance'] !== id) {
    answer(421);
    return;
  }
  if ((order['fencing-token'] ?? 0) < highestFence) {
    answer(409, { reason: 'fence' });
    return;
  }
  highestFence = order['fencing-token'] ?? 0;
  if (request.url === '/hold') answer(200, await hold(response, order));
  else if (request.url === '/run-start') {
    const { status, reason } = start(order);
    answer(status, reason ? { reason } : {});
  } else if (request.url === '/run-stop') answer(stop(order).status);
  else answer(404);
}

await listen(host, innerPort, handle);
tell({ event: 'up' });
let sequence = 0;
function beat() {
  sequence += 1;
  tell({
    event: 'beat',
    entry: {
      service: settings.service,
      address: settings.address,
      zone: settings.zone,
      version: 'v1',
      slots: 8,
      state: 'ready',
      'cold-remaining-ms': 0,
      capacity: settings.capacity,
      labels: settings.labels,
      'clock-ms': clock(),
      sequence,
      born,
    },
  });
}
beat();
setInterval(beat, settings.beatMilliseconds);
process.once('disconnect', () => process.exit(0));
