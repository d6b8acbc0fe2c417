// Small helpers for HTTP servers and calls of the stand-ins.
import { Buffer } from 'node:buffer';
import { createServer, request as sendRequest } from 'node:http';

/** Reads a JSON body; an empty one is `{}`. */
export async function readJson(request) {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  const text = Buffer.concat(chunks).toString('utf8');
  return text === '' ? {} : JSON.parse(text);
}

/** Sends a JSON answer. */
export function sendJson(response, status, body) {
  const text = JSON.stringify(body ?? {});
  response.writeHead(status, {
    'Content-Type': 'application/json',
    'Content-Length': Buffer.byteLength(text),
  });
  response.end(text);
}

/** Starts an HTTP server. `handle` gets request and response; an error of it breaks the connection. */
export function listen(host, port, handle) {
  return new Promise((resolve, reject) => {
    const server = createServer((request, response) => {
      response.on('error', () => {});
      handle(request, response).catch(() => request.socket.destroy());
    });
    server.keepAliveTimeout = 60_000;
    server.once('error', reject);
    server.listen(port, host, () => resolve(server));
  });
}

/**
 * Calls an HTTP server on a new connection, or on one of `agent`.
 *
 * @returns status and body; status 0 if there was no complete answer in time
 */
export function callHttp({
  address,
  method,
  path,
  headers = {},
  body,
  timeout = 3_000,
  agent = false,
}) {
  const [host, port] = address.split(':');
  const text = body === undefined ? '' : JSON.stringify(body);
  return new Promise((resolve) => {
    const outgoing = sendRequest({
      host,
      port: Number(port),
      method,
      path,
      agent,
      headers: {
        ...headers,
        ...(text === ''
          ? {}
          : { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) }),
      },
      timeout,
    });
    const fail = (reason) => {
      outgoing.destroy();
      resolve({ status: 0, reason });
    };
    outgoing.once('timeout', () => fail('no answer in time'));
    outgoing.once('error', (error) => fail(error.message));
    outgoing.once('response', (response) => {
      const chunks = [];
      response.on('data', (chunk) => chunks.push(chunk));
      response.once('error', () => fail('broken off'));
      response.once('end', () => {
        const answer = Buffer.concat(chunks).toString('utf8');
        let parsed = null;
        try {
          parsed = JSON.parse(answer);
        } catch {
          // No JSON.
        }
        resolve({ status: response.statusCode, body: parsed });
      });
    });
    outgoing.end(text);
  });
}
