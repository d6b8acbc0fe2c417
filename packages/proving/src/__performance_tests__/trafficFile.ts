import { tmpdir } from 'node:os';
import { join } from 'node:path';

/** Bytes that a process has sent and received on its sockets. */
export interface TrafficCount {
  readonly sent: number;
  readonly received: number;
}

/** @returns path of the file that the daemon with this process id writes its byte counts to */
export function trafficFilePath(processId: number): string {
  return join(tmpdir(), `chicorybend-traffic-${processId}.json`);
}
