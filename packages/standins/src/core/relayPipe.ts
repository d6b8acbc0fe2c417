import type { Socket } from 'node:net';

/** Faults that currently apply to one direction of a connection. */
export interface PipeCondition {
  readonly isSilent: boolean;
  readonly delayMilliseconds: number;
}

/** One direction of a relayed connection. */
export interface RelayPipe {
  /** Forwards the chunks that are due; called after a change of the condition. */
  flush(): void;
  /** Discards the chunks that were not forwarded. */
  close(): void;
}

interface PendingChunk {
  /** Null marks the end of the stream. */
  readonly bytes: Buffer | null;
  readonly arrivedAt: number;
}

/**
 * Forwards bytes from one socket to another in order, with the delay of the current condition. During a silence the
 * source is still read, so that its end is detected, and the bytes are buffered; they are forwarded when the silence
 * ends, as TCP would do.
 *
 * @param readCondition returns the current condition of this direction
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
