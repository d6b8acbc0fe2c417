// A machine with one endpoint: the process of the endpoint, and in front of it a link that can be cut. A connection
// that is open when the endpoint crashes behind a cut stays silent until its other side sends something; that is
// answered by a reset, as a machine does that has started again.
import { fork } from 'node:child_process';
import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import { fileURLToPath, URL } from 'node:url';

const PROGRAM = fileURLToPath(new URL('endpoint.mjs', import.meta.url));

/**
 * Starts a machine.
 *
 * @param options id, host, port (of the link), innerPort (of the process), service, zone, capacity, labels, store and
 *   record
 */
export async function startMachine(options) {
  const { id, host, port, innerPort, store, record } = options;
  const address = `${host}:${port}`;
  let child = null;
  let life = 0;
  let isCut = false;
  const links = new Set();

  function openInner(link) {
    const inner = connect(innerPort, host);
    link.inner = inner;
    link.life = life;
    inner.on('data', (chunk) => {
      if (!isCut && link.life === life) link.outer.write(chunk);
    });
    inner.on('error', () => inner.destroy());
    // A connection that the endpoint ends while the link is cut says nothing to the other side.
    inner.on('close', () => {
      if (!isCut && link.life === life && !link.isLost) link.outer.destroy();
      else link.isLost = true;
    });
  }

  function forward(link) {
    if (isCut) return;
    if (link.isLost || (link.inner && link.life !== life)) {
      if (link.held.length > 0) link.outer.resetAndDestroy();
      return;
    }
    if (!link.inner) openInner(link);
    link.held.forEach((chunk) => link.inner.write(chunk));
    link.held.length = 0;
  }

  const server = createServer((outer) => {
    const link = { outer, inner: null, life: 0, held: [], isLost: false };
    links.add(link);
    outer.on('data', (chunk) => {
      link.held.push(chunk);
      forward(link);
    });
    outer.on('error', () => outer.destroy());
    outer.on('close', () => {
      links.delete(link);
      link.inner?.destroy();
    });
  });
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });

  async function startLife() {
    life += 1;
    child = fork(
      PROGRAM,
      [JSON.stringify({ ...options, store: undefined, record: undefined, address })],
      { stdio: ['ignore', 'inherit', 'inherit', 'ipc'] },
    );
    const started = child;
    let isUp = () => {};
    const up = new Promise((resolve, reject) => {
      isUp = resolve;
      child.once('exit', () => reject(new Error(`endpoint ${id} has not started`)));
    });
    child.on('message', (message) => {
      if (message.event === 'up') isUp();
      else if (message.event === 'beat') {
        if (!isCut && started === child) store.write(`servers/${id}`, message.entry);
      } else record.add({ at: 'endpoint', endpoint: id, life: message.born, ...message });
    });
    await up;
    record.add({ at: 'endpoint', endpoint: id, event: 'up', process: life });
  }

  async function crash() {
    const ended = once(child, 'exit');
    record.add({ at: 'endpoint', endpoint: id, event: 'crash', process: life });
    links.forEach((link) => {
      link.isLost = link.inner !== null;
    });
    child.kill('SIGKILL');
    await ended;
    child = null;
    if (!isCut) links.forEach((link) => link.outer.destroy());
  }

  await startLife();
  return {
    id,
    address,
    crash,
    restart: startLife,
    isUp: () => child !== null,
    cut() {
      isCut = true;
      record.add({ at: 'link', endpoint: id, event: 'cut' });
    },
    heal() {
      isCut = false;
      record.add({ at: 'link', endpoint: id, event: 'healed' });
      links.forEach((link) => forward(link));
    },
    close() {
      child?.kill('SIGKILL');
      links.forEach((link) => link.outer.destroy());
      server.close();
    },
  };
}
