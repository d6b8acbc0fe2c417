import { sleep } from '@chicorybend/common';
import type { Clock, Counters, VmListResponse, VmRecord, VmRole } from '@chicorybend/common';
import { Pool } from 'undici';

import type { VmDirectory } from '../types/vmDirectory.js';

/** Time between two readings of the list, in milliseconds. */
export const VM_LIST_INTERVAL_MILLISECONDS = 1_000;
const READ_TIMEOUT_MILLISECONDS = 2_000;
const STATUS_OK = 200;
const STATUS_NOT_MODIFIED = 304;

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

function groupByRole(vms: readonly VmRecord[]): Partial<Record<VmRole, VmRecord[]>> {
  const groups: Partial<Record<VmRole, VmRecord[]>> = {};
  vms.forEach((vm) => {
    const group = groups[vm.role] ?? [];
    group.push(vm);
    groups[vm.role] = group;
  });
  return groups;
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
  let byRole: Readonly<Partial<Record<VmRole, readonly VmRecord[]>>> = {};
  let entryIds: ReadonlySet<string> = new Set();
  let lastText = '';
  let entityTag: string | null = null;
  let isStopped = false;

  function applyList(text: string): void {
    const { vms } = JSON.parse(text) as VmListResponse;
    byRole = groupByRole(vms);
    entryIds = new Set(byRole.entry?.map(({ id }) => id));
    lastText = text;
    listeners.forEach((listener) => listener());
  }

  async function readList(): Promise<void> {
    try {
      const response = await pool.request({
        method: 'GET',
        path: '/v1/vms',
        // The whole list of a large fleet has megabytes; it is sent again only after a change.
        ...(entityTag === null ? {} : { headers: { 'if-none-match': entityTag } }),
        signal: AbortSignal.timeout(READ_TIMEOUT_MILLISECONDS),
      });
      const text = await response.body.text();
      if (response.statusCode === STATUS_NOT_MODIFIED) return;
      if (response.statusCode !== STATUS_OK) {
        counters.increment('vm-list.unavailable');
        return;
      }
      if (text !== lastText) applyList(text);
      const { etag } = response.headers;
      entityTag = typeof etag === 'string' ? etag : null;
    } catch {
      counters.increment('vm-list.unavailable');
    }
  }

  async function poll(): Promise<void> {
    while (!isStopped) {
      await sleep(clock, VM_LIST_INTERVAL_MILLISECONDS);
      if (!isStopped) await readList();
    }
  }

  return {
    workers: () => byRole.worker ?? [],
    endpoints: () => byRole.endpoint ?? [],
    isEntryVmGone: (daemonId) => entryIds.has(selfId) && !entryIds.has(daemonId),
    onChange(listener) {
      listeners.push(listener);
    },
    async start() {
      await readList();
      void poll();
    },
    async stop() {
      isStopped = true;
      await pool.destroy();
    },
  };
}
