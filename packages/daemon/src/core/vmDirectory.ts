import { sleep } from '@chicorybend/common';
import type { Clock, Counters, VmListResponse, VmRecord, VmRole } from '@chicorybend/common';
import { Pool } from 'undici';

import type { VmDirectory } from '../types/vmDirectory.js';

/** Time between two readings of the list, in milliseconds. */
export const VM_LIST_INTERVAL_MILLISECONDS = 1_000;
const READ_TIMEOUT_MILLISECONDS = 2_000;
const STATUS_OK = 200;

/** What the directory needs. */
export interface VmDirectoryOptions {
  /** Address of the platform's VM list. */
  readonly address: string;
  /** Own daemon identity. */
  readonly selfId: string;
  readonly clock: Clock;
  readonly counters: Counters;
}

/** A directory that polls while it runs. */
export interface PolledVmDirectory extends VmDirectory {
  /** Reads the list once and then regularly. */
  start(): Promise<void>;
  stop(): Promise<void>;
}

/**
 * Creates a copy of the platform's VM list. The last list is kept while the platform gives none.
 *
 * @param options address and collaborators
 * @returns the directory
 */
export function createVmDirectory(options: VmDirectoryOptions): PolledVmDirectory {
  const { selfId, clock, counters } = options;
  const pool = new Pool(options.address, { connections: 1 });
  const listeners: (() => void)[] = [];
  let vms: readonly VmRecord[] = [];
  let serialized = '';
  let isStopped = false;

  async function read(): Promise<void> {
    try {
      const response = await pool.request({
        method: 'GET',
        path: '/v1/vms',
        signal: AbortSignal.timeout(READ_TIMEOUT_MILLISECONDS),
      });
      const text = await response.body.text();
      if (response.statusCode !== STATUS_OK || text === serialized) return;
      vms = (JSON.parse(text) as VmListResponse).vms;
      serialized = text;
      listeners.forEach((listener) => listener());
    } catch {
      counters.increment('vm-list.unavailable');
    }
  }

  async function poll(): Promise<void> {
    while (!isStopped) {
      await sleep(clock, VM_LIST_INTERVAL_MILLISECONDS);
      if (!isStopped) await read();
    }
  }

  function withRole(role: VmRole): readonly VmRecord[] {
    return vms.filter((vm) => vm.role === role);
  }

  return {
    workers: () => withRole('worker'),
    endpoints: () => withRole('endpoint'),
    isEntryVmGone(daemonId) {
      const ids = withRole('entry').map((vm) => vm.id);
      return ids.includes(selfId) && !ids.includes(daemonId);
    },
    onChange(listener) {
      listeners.push(listener);
    },
    async start() {
      await read();
      void poll();
    },
    async stop() {
      isStopped = true;
      await pool.destroy();
    },
  };
}
