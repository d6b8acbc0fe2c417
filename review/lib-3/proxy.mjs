import net from 'node:net';

/**
 * Starts a proxy for one machine's connections to the store. While it is cut, it takes connections and drops what is
 * sent in either direction, like a network that loses all packets.
 */
export async function startProxy(target) {
  const [host, port] = target.split(':');
  const sockets = new Set();
  let isCut = false;

  function connect(inner) {
    const outer = net.connect(Number(port), host);
    const pair = [inner, outer];
    pair.forEach((socket, index) => {
      const other = pair[1 - index];
      sockets.add(socket);
      socket.on('data', (chunk) => {
        if (!isCut) other.write(chunk);
      });
      socket.on('error', () => {});
      socket.on('close', () => {
        sockets.delete(socket);
        other.destroy();
      });
    });
  }

  function closeAll() {
    [...sockets].forEach((socket) => socket.destroy());
  }

  const server = net.createServer(connect);
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    address: `127.0.0.1:${server.address().port}`,
    cut() {
      isCut = true;
    },
    /** Connections that have lost data are closed. */
    heal() {
      isCut = false;
      closeAll();
    },
    close() {
      server.close();
      closeAll();
    },
  };
}
