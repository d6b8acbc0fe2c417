import type { Resources } from './resources.js';

/** What a VM is used for. */
export type VmRole = 'entry' | 'worker' | 'endpoint';

/** State of a VM in the platform's list. The list lags behind the truth. */
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
  /** Requests that an endpoint runs at once; present on endpoints. */
  readonly slots?: number;
  /** Connections that an endpoint accepts; present on endpoints. */
  readonly connections?: number;
}

/** Answer of `GET /v1/vms`. */
export interface VmListResponse {
  readonly vms: readonly VmRecord[];
}
