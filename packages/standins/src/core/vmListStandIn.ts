import { createHash } from 'node:crypto';

import { createSystemClock, sleep } from '@chicorybend/common';
import type { VmListResponse, VmRecord, VmState } from '@chicorybend/common';

import { startRestartableServer } from '../utils/restartableServer.js';
import type { ListenAddress } from '../utils/restartableServer.js';
import type { RunRecord } from './runRecord.js';

/** Faults of the VM list stand-in; all may be changed while it runs. */
export interface VmListFaults {
  /** Breaks connections without an answer. */
  isDown: boolean;
  /** Time before each answer, in milliseconds. */
  delayMilliseconds: number;
  /** Time between a change and its appearance in the list, in milliseconds. Applies to later changes. */
  lagMilliseconds: number;
}

const STATUS_NOT_MODIFIED = 304;

/** Place and content of a VM list stand-in. */
export interface VmListStandInOptions extends ListenAddress {
  readonly lagMilliseconds?: number;
  /** VMs that are in the list from the start, without lag. */
  readonly vms?: readonly VmRecord[];
  /** Receives an entry for each later change, once it is visible. */
  readonly record?: RunRecord;
}

/** A running VM list stand-in. */
export interface VmListStandIn {
  readonly address: string;
  readonly faults: VmListFaults;
  /** Adds or replaces a VM; appears after the lag. */
  put(vm: VmRecord): void;
  /** Changes the state of a VM; appears after the lag. */
  setState(vmId: string, state: VmState): void;
  /** Takes a VM out; disappears after the lag. */
  remove(vmId: string): void;
  /** @returns the list as callers see it now */
  visibleVms(): readonly VmRecord[];
  close(): Promise<void>;
}

function computeEntityTag(body: string): string {
  return `"${createHash('sha256').update(body).digest('base64url')}"`;
}

/**
 * Starts a stand-in for the platform's VM list, `GET /v1/vms`. An unchanged list is answered with 304 to
 * `if-none-match`.
 *
 * @param options place, content and lag
 * @returns the running stand-in
 */
export async function startVmListStandIn(
  options: VmListStandInOptions = {},
): Promise<VmListStandIn> {
  const clock = createSystemClock();
  const faults: VmListFaults = {
    isDown: false,
    delayMilliseconds: 0,
    lagMilliseconds: options.lagMilliseconds ?? 0,
  };
  const visibleVms = new Map((options.vms ?? []).map((vm) => [vm.id, vm]));
  const timers = new Set<NodeJS.Timeout>();

  function recordListedState(vmId: string): void {
    const { record } = options;
    const state = visibleVms.get(vmId)?.state ?? 'absent';
    record?.append({ type: 'vm-listed', at: record.now(), vmId, state });
  }

  function applyAfterLag(change: () => void): void {
    if (faults.lagMilliseconds <= 0) {
      change();
      return;
    }
    const timer = setTimeout(() => {
      timers.delete(timer);
      change();
    }, faults.lagMilliseconds);
    timers.add(timer);
  }

  const server = await startRestartableServer(options, (app) => {
    app.get('/v1/vms', async (request, reply) => {
      if (faults.delayMilliseconds > 0) await sleep(clock, faults.delayMilliseconds);
      if (faults.isDown) {
        reply.hijack();
        reply.raw.destroy();
        return reply;
      }
      const body = JSON.stringify({ vms: [...visibleVms.values()] } satisfies VmListResponse);
      const etag = computeEntityTag(body);
      reply.header('etag', etag);
      if (request.headers['if-none-match'] === etag) return reply.code(STATUS_NOT_MODIFIED).send();
      return reply.type('application/json').send(body);
    });
  });

  return {
    address: server.address,
    faults,
    put(vm) {
      applyAfterLag(() => {
        visibleVms.set(vm.id, vm);
        recordListedState(vm.id);
      });
    },
    setState(vmId, state) {
      applyAfterLag(() => {
        const vm = visibleVms.get(vmId);
        if (!vm) return;
        visibleVms.set(vmId, { ...vm, state });
        recordListedState(vmId);
      });
    },
    remove(vmId) {
      applyAfterLag(() => {
        visibleVms.delete(vmId);
        recordListedState(vmId);
      });
    },
    visibleVms: () => [...visibleVms.values()],
    async close() {
      timers.forEach((timer) => clearTimeout(timer));
      await server.stop();
    },
  };
}
