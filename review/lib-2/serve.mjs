// HTTP servers of the stand-ins.
import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { URL } from 'node:url';

export const HOST = '127.0.0.1';

async function readBody(request) {
  const chunks = [];
  for await (const chunk of request) {
    chunks.push(chunk);
  }
  return chunks.length === 0 ? {} : JSON.parse(Buffer.concat(chunks).toString());
}

/**
 * Starts an HTTP server on a free port.
 *
 * @param answer returns status and body of an answer; null breaks the connection off
 */
export async function serve(answer) {
  const server = createServer((request, response) => {
    readBody(request)
      .then((body) => answer(request, new URL(request.url, 'http://platform'), body))
      .then((answered) => {
        if (!answered) {
          request.socket.destroy();
          return;
        }
        response.writeHead(answered.status, { 'Content-Type': 'application/json' });
        response.end(JSON.stringify(answered.body));
      })
      .catch(() => request.socket.destroy());
  });
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, HOST, resolve);
  });
  return server;
}
