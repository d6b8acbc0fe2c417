import { Buffer } from 'node:buffer';
import http from 'node:http';
import { clearTimeout, setTimeout } from 'node:timers';
import { URL } from 'node:url';

const JSON_TYPE = { 'Content-Type': 'application/json' };

async function readBody(request) {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  return chunks.length === 0 ? {} : JSON.parse(Buffer.concat(chunks).toString());
}

/**
 * Starts an HTTP server on a loopback address.
 *
 * @param answer called with the request, its URL and its decoded body; returns `{ status, body }`, or null to close the
 *   connection without a response
 * @param port port to listen on; 0 for a free one
 */
export async function startServer(answer, host = '127.0.0.1', port = 0) {
  const server = http.createServer((request, response) => {
    const url = new URL(request.url, 'http://stand-in');
    readBody(request)
      .then((body) => answer(request, url, body))
      .then((answered) => {
        if (!answered) {
          request.socket.destroy();
          return;
        }
        response.writeHead(answered.status, JSON_TYPE);
        response.end(answered.body === undefined ? '' : JSON.stringify(answered.body));
      })
      .catch(() => request.socket.destroy());
  });
  server.keepAliveTimeout = 60_000;
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  return {
    address: `${host}:${server.address().port}`,
    port: server.address().port,
    /** Refuses further connections and ends those that are open. */
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}

/** Sends a request on a connection of its own. Resolves to the response, or to null if there was none in time. */
export function sendRequest(address, method, path, { headers = {}, body, timeoutMs = 3_000 } = {}) {
  const [host, port] = address.split(':');
  const text = body === undefined ? '' : JSON.stringify(body);
  return new Promise((resolve) => {
    const request = http.request(
      {
        host,
        port: Number(port),
        method,
        path,
        agent: false,
        headers: { ...JSON_TYPE, 'Content-Length': Buffer.byteLength(text), ...headers },
      },
      (response) => {
        const chunks = [];
        response.on('data', (chunk) => chunks.push(chunk));
        response.on('error', () => resolve(null));
        response.on('end', () => {
          let decoded = null;
          try {
            decoded = JSON.parse(Buffer.concat(chunks).toString());
          } catch {
            decoded = null;
          }
          resolve({ status: response.statusCode, headers: response.headers, body: decoded });
        });
      },
    );
    const timer = setTimeout(() => request.destroy(), timeoutMs);
    request.on('close', () => {
      clearTimeout(timer);
      resolve(null);
    });
    request.on('error', () => resolve(null));
    request.end(text);
  });
}

export function sleep(milliseconds) {
  return new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });
}
