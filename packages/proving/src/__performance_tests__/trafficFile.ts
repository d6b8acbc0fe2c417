import { tmpdir } from 'node:os';
import { join } from 'node:path';

/** Bytes on sockets. */
export interface TrafficCount {
  readonly sent: number;
  readonly received: number;
}

/**
 * @param processId id of a process that counts its bytes
 * @returns path of the file that it writes
 */
export function trafficFilePath(processId: number): string {
  return join(tmpdir(), `chicorybend-traffic-${processId}.json`);
}
