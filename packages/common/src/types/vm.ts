import type { Resources } from './resources.js';

/** What a VM is used for. */
export type VmRole = 'entry' | 'worker' | 'endpoint';

/** State of a VM in the platform's list. The list is updated with a delay. */
export type VmState = 'live' | 'leaving';

/** Entry of the platform's VM list. */
export interface VmRecord {
  readonly id: string;
  readonly role: VmRole;
  readonly state: VmState;
  /** Base address, for example `http://127.0.0.1:4000`. */
  readonly address: string;
  readonly dataCentre: string;
  readonly rack: string;
  /** Capacity; present on workers. */
  readonly capacity?: Resources;
  /** Number of requests that an endpoint runs concurrently; present on endpoints. */
  readonly slots?: number;
  /** Maximum number of connections that an endpoint accepts; present on endpoints. */
  readonly connections?: number;
}

/** Response of `GET /v1/vms`. */
export interface VmListResponse {
  readonly vms: readonly VmRecord[];
}
