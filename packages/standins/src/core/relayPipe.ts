import type { Socket } from 'node:net';

/** What happens to the bytes of one direction of a connection at present. */
export interface PipeCondition {
  readonly isSilent: boolean;
  readonly delayMilliseconds: number;
}

/** One direction of a relayed connection. */
export interface RelayPipe {
  /** Forwards what became due, after a change of the conditions. */
  flush(): void;
  /** Forgets everything that was not forwarded. */
  close(): void;
}

interface PendingChunk {
  /** Null stands for the end of the stream. */
  readonly bytes: Buffer | null;
  readonly arrivedAt: number;
}

/**
 * Forwards bytes from one socket to another in order, late or not at all. The source is always read, so that its
 * end is noticed during a silence; what was held back is forwarded when the silence ends, as TCP would.
 *
 * @param source socket to read
 * @param sink socket to write
 * @param readCondition present condition of this direction
 * @returns the pipe
 */
export function createRelayPipe(
  source: Socket,
  sink: Socket,
  readCondition: () => PipeCondition,
): RelayPipe {
  const pendingChunks: PendingChunk[] = [];
  let timer: NodeJS.Timeout | null = null;

  function forward(chunk: PendingChunk): void {
    if (chunk.bytes) sink.write(chunk.bytes);
    else sink.end();
  }

  function flush(): void {
    if (timer) clearTimeout(timer);
    timer = null;
    const { isSilent, delayMilliseconds } = readCondition();
    if (isSilent) return;
    for (let [chunk] = pendingChunks; chunk; [chunk] = pendingChunks) {
      const remaining = chunk.arrivedAt + delayMilliseconds - performance.now();
      if (remaining > 0) {
        timer = setTimeout(flush, Math.ceil(remaining));
        return;
      }
      pendingChunks.shift();
      forward(chunk);
    }
  }

  function enqueue(bytes: Buffer | null): void {
    pendingChunks.push({ bytes, arrivedAt: performance.now() });
    if (!timer) flush();
  }

  source.on('data', (bytes: Buffer) => enqueue(bytes));
  source.on('end', () => enqueue(null));
  return {
    flush,
    close() {
      if (timer) clearTimeout(timer);
      pendingChunks.length = 0;
    },
  };
}
