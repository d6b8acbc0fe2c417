import { createHash } from 'node:crypto';

import { createSystemClock, sleep } from '@chicorybend/common';
import type { VmListResponse, VmRecord, VmState } from '@chicorybend/common';

import { startHttpHost } from '../utils/httpHost.js';
import type { HostPlace } from '../utils/httpHost.js';
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
export interface VmListStandInOptions extends HostPlace {
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
  visible(): readonly VmRecord[];
  close(): Promise<void>;
}

function hashList(body: string): string {
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
  const visible = new Map((options.vms ?? []).map((vm) => [vm.id, vm]));
  const timers = new Set<NodeJS.Timeout>();

  function recordState(vmId: string): void {
    const { record } = options;
    const state = visible.get(vmId)?.state ?? 'absent';
    record?.append({ type: 'vm-listed', at: record.now(), vmId, state });
  }

  function changeLater(change: () => void): void {
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

  const host = await startHttpHost(options, (app) => {
    app.get('/v1/vms', async (request, reply) => {
      if (faults.delayMilliseconds > 0) await sleep(clock, faults.delayMilliseconds);
      if (faults.isDown) {
        reply.hijack();
        reply.raw.destroy();
        return reply;
      }
      const body = JSON.stringify({ vms: [...visible.values()] } satisfies VmListResponse);
      const etag = hashList(body);
      reply.header('etag', etag);
      if (request.headers['if-none-match'] === etag) return reply.code(STATUS_NOT_MODIFIED).send();
      return reply.type('application/json').send(body);
    });
  });

  return {
    address: host.address,
    faults,
    put(vm) {
      changeLater(() => {
        visible.set(vm.id, vm);
        recordState(vm.id);
      });
    },
    setState(vmId, state) {
      changeLater(() => {
        const vm = visible.get(vmId);
        if (!vm) return;
        visible.set(vmId, { ...vm, state });
        recordState(vmId);
      });
    },
    remove(vmId) {
      changeLater(() => {
        visible.delete(vmId);
        recordState(vmId);
      });
    },
    visible: () => [...visible.values()],
    async close() {
      timers.forEach((timer) => clearTimeout(timer));
      await host.goDown();
    },
  };
}
