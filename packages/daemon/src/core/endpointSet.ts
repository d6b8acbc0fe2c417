/**
 * The endpoints that serve one partition: their free slots, the selection of an endpoint, and the slots that
 * requests of a former owner may still occupy.
 */
import type { Clock, VmRecord } from '@chicorybend/common';

import type { Endpoint } from './endpoint.js';
import type { EndpointHandover } from './endpointService.js';

/** Endpoints of one partition. */
export interface EndpointSet {
  /**
   * Applies a new VM list: adds, updates and removes endpoints.
   *
   * @param vms endpoint VMs of this partition
   */
  update(vms: readonly VmRecord[]): void;
  /** Removes endpoints that are no longer in the VM list and have no request in flight. */
  removeUnlisted(): void;
  /** @returns number of slots of usable endpoints that are free or become free when their request is answered */
  countUsableSlots(): number;
  /** @returns number of free slots of usable endpoints */
  countFreeSlots(): number;
  /**
   * Selects the endpoint with the largest fraction of free slots, preferring endpoints that were not tried, and among
   * those the ones that answer: an endpoint that does not, or fails at once, has the most free slots.
   *
   * @param triedEndpointIds ids of endpoints that were tried for the request
   * @returns the endpoint, or undefined without a free slot
   */
  selectEndpoint(triedEndpointIds: ReadonlySet<string>): Endpoint | undefined;
  /**
   * Marks slots as occupied by requests that the former owner sent.
   *
   * @param slots slots from the handover
   */
  adoptSlots(slots: EndpointHandover['slots']): void;
  /** @returns the occupied slots, for the handover to the next owner */
  listSlots(): EndpointHandover['slots'];
  stop(): void;
}

export interface EndpointSetOptions {
  readonly clock: Clock;
  readonly createEndpoint: (vm: VmRecord) => Endpoint;
  /** Called for each slot that a former owner's request still occupies, with the team of the request. */
  readonly onSlotAdopted: (team: string) => void;
}

/** A slot that a former owner's request may occupy. */
interface AdoptedSlot {
  readonly endpointId: string;
  readonly team: string;
  readonly endsBy: number;
}

function freeFraction({ slots }: Endpoint): number {
  return slots.free() / slots.limit();
}

export function createEndpointSet(options: EndpointSetOptions): EndpointSet {
  const { clock } = options;
  const endpoints = new Map<string, Endpoint>();
  let pendingAdoptions: AdoptedSlot[] = [];

  function listUsableEndpoints(): Endpoint[] {
    return [...endpoints.values()].filter((endpoint) => endpoint.isUsable());
  }

  function selectEndpoint(triedEndpointIds: ReadonlySet<string>): Endpoint | undefined {
    const free = listUsableEndpoints().filter((endpoint) => endpoint.slots.free() > 0);
    const untried = free.filter((endpoint) => !triedEndpointIds.has(endpoint.endpointId));
    const allowed = untried.length > 0 ? untried : free;
    const preferred = allowed.filter((endpoint) => endpoint.isPreferred());
    const candidates = preferred.length > 0 ? preferred : allowed;
    return candidates.reduce<Endpoint | undefined>(
      (best, each) => (best && freeFraction(best) >= freeFraction(each) ? best : each),
      undefined,
    );
  }

  function removeUnlisted(): void {
    endpoints.forEach((endpoint, name) => {
      if (!endpoint.isUnlisted() || endpoint.slots.inUse().length > 0) return;
      endpoint.stop();
      endpoints.delete(name);
    });
  }

  /**
   * The former owner may have had a newer VM list; slots of endpoints that are not listed here yet stay pending
   * until the endpoint appears or the request has ended.
   */
  function adoptPending(): void {
    const now = clock.monotonicMilliseconds();
    pendingAdoptions = pendingAdoptions.filter(({ endpointId, team, endsBy }) => {
      const endpoint = [...endpoints.values()].find((each) => each.endpointId === endpointId);
      if (endpoint && endsBy > now) {
        endpoint.slots.adopt(team, endsBy - now);
        options.onSlotAdopted(team);
      }
      return !endpoint && endsBy > now;
    });
  }

  return {
    update(vms) {
      const listed = new Map(vms.map((vm) => [`${vm.id} ${vm.address}`, vm]));
      endpoints.forEach((endpoint, name) => endpoint.update(listed.get(name) ?? null));
      removeUnlisted();
      listed.forEach((vm, name) => {
        if (!endpoints.has(name)) endpoints.set(name, options.createEndpoint(vm));
      });
      adoptPending();
    },
    removeUnlisted,
    countUsableSlots: () =>
      listUsableEndpoints().reduce((sum, { slots }) => sum + slots.usable(), 0),
    countFreeSlots: () => listUsableEndpoints().reduce((sum, { slots }) => sum + slots.free(), 0),
    selectEndpoint,
    adoptSlots(slots) {
      const now = clock.monotonicMilliseconds();
      pendingAdoptions = slots.map((slot) => ({
        ...slot,
        endsBy: now + slot.remainingMilliseconds,
      }));
      adoptPending();
    },
    listSlots() {
      const now = clock.monotonicMilliseconds();
      return [...endpoints.values()].flatMap(({ endpointId, slots }) =>
        slots.inUse().map(({ team, endsBy }) => ({
          endpointId,
          team,
          remainingMilliseconds: Math.max(0, endsBy() - now),
        })),
      );
    },
    stop: () => endpoints.forEach((endpoint) => endpoint.stop()),
  };
}
