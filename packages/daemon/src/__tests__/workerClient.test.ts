import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

import test from 'ava';

import { createWorkerClient } from '../core/workerClient.js';

/** Longer than any delay of a busy machine. */
const TIMEOUT_MILLISECONDS = 30_000;
/** For answers that never come. */
const SHORT_TIMEOUT_MILLISECONDS = 200;
const SEAL = { partition: 3, epoch: 4 };

type RequestHandler = (request: IncomingMessage, response: ServerResponse) => void;

async function serve(answer: RequestHandler): Promise<{ server: Server; address: string }> {
  const server = createServer(answer);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  return { server, address: `http://127.0.0.1:${port}` };
}

async function sealWith(answer: RequestHandler, timeoutMilliseconds = TIMEOUT_MILLISECONDS) {
  const { server, address } = await serve(answer);
  const client = createWorkerClient(timeoutMilliseconds);
  const outcome = await client.seal(address, SEAL);
  await client.close();
  server.closeAllConnections();
  server.close();
  return outcome;
}

test('a call sends its body to the path of its name and gives the answer', async (t) => {
  let seen = '';
  const outcome = await sealWith((request, response) => {
    request.on('data', (chunk: Buffer) => {
      seen += `${request.method} ${request.url} ${chunk.toString()}`;
    });
    request.on('end', () => response.end('{"workerId":"w"}'));
  });
  t.is(seen, `POST /seal ${JSON.stringify(SEAL)}`);
  t.is(outcome.unwrap().workerId, 'w');
});

test('a refusal with 409 is told apart from an unknown outcome', async (t) => {
  const refused = await sealWith((_, response) => {
    response.writeHead(409).end('{"refused":"stale-epoch","highestEpoch":5}');
  });
  t.deepEqual(refused.unwrapErr(), {
    kind: 'refused',
    refusal: { refused: 'stale-epoch', highestEpoch: 5 },
  });
});

test('an answer that is cut, missing, late or not understood leaves the outcome unknown', async (t) => {
  const cut = await sealWith((_, response) => {
    response.writeHead(200, { 'content-length': '100' });
    response.write('{"workerId"', () => response.destroy());
  });
  const reset = await sealWith((request) => request.socket.destroy());
  const late = await sealWith(() => {}, SHORT_TIMEOUT_MILLISECONDS);
  const failing = await sealWith((_, response) => response.writeHead(500).end('{}'));
  t.deepEqual(
    [cut, reset, late, failing].map((outcome) => outcome.unwrapErr().kind),
    ['lost', 'lost', 'lost', 'lost'],
  );
});

test('a call to a port that nobody listens on was certainly not sent', async (t) => {
  const { server, address } = await serve(() => {});
  await new Promise((resolve) => {
    server.close(resolve);
  });
  const client = createWorkerClient(TIMEOUT_MILLISECONDS);
  t.is((await client.seal(address, SEAL)).unwrapErr().kind, 'not-sent');
  await client.close();
});
