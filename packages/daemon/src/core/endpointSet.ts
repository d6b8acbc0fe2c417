/**
 * The endpoints that serve one partition: their free slots, the choice among them, and the slots that requests of
 * a former owner may still use.
 */
import type { Clock, VmRecord } from '@chicorybend/common';

import type { Endpoint } from './endpoint.js';
import type { EndpointHandover } from './endpointService.js';

/** Endpoints of one partition. */
export interface EndpointSet {
  /**
   * Takes the endpoints of the VM list.
   *
   * @param vms endpoint VMs of this partition
   */
  update(vms: readonly VmRecord[]): void;
  /** Forgets endpoints that left the VM list, once their requests have ended. */
  removeUnlisted(): void;
  /** @returns number of slots of usable endpoints that are free or become free with an answer */
  countUsableSlots(): number;
  /** @returns number of free slots of usable endpoints */
  countFreeSlots(): number;
  /**
   * Chooses the endpoint with the largest free part of its slots, if possible one that was not tried.
   *
   * @param tried ids of the endpoints that the request was sent to
   * @returns the endpoint, or undefined without a free slot
   */
  selectEndpoint(tried: ReadonlySet<string>): Endpoint | undefined;
  /**
   * Blocks the slots that the former owner's requests may use.
   *
   * @param slots slots of the handover
   */
  adoptSlots(slots: EndpointHandover['slots']): void;
  /** @returns the slots in use, for the next owner */
  listSlots(): EndpointHandover['slots'];
  stop(): void;
}

/** What a set of endpoints needs. */
export interface EndpointSetOptions {
  readonly clock: Clock;
  readonly createEndpoint: (vm: VmRecord) => Endpoint;
  /** Called for each slot that a former owner's request of a team still uses. */
  readonly onSlotAdopted: (team: string) => void;
}

/** A slot that a former owner's request may hold. */
interface AdoptedSlot {
  readonly endpointId: string;
  readonly team: string;
  readonly endsBy: number;
}

function freeFraction({ slots }: Endpoint): number {
  return slots.free() / slots.limit();
}

/**
 * Creates an empty set of endpoints.
 *
 * @param options clock and factory of endpoints
 * @returns the set
 */
export function createEndpointSet(options: EndpointSetOptions): EndpointSet {
  const { clock } = options;
  const endpoints = new Map<string, Endpoint>();
  let pendingAdoptions: AdoptedSlot[] = [];

  function listUsableEndpoints(): Endpoint[] {
    return [...endpoints.values()].filter((endpoint) => endpoint.isUsable());
  }

  function selectEndpoint(tried: ReadonlySet<string>): Endpoint | undefined {
    const free = listUsableEndpoints().filter((endpoint) => endpoint.slots.free() > 0);
    const untried = free.filter((endpoint) => !tried.has(endpoint.endpointId));
    const candidates = untried.length > 0 ? untried : free;
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

  /** The former owner's VM list may be newer than this one; its slots are kept for endpoints not listed yet. */
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
    removeUnlisted: removeUnlisted,
    countUsableSlots: () =>
      listUsableEndpoints().reduce((sum, { slots }) => sum + slots.usable(), 0),
    countFreeSlots: () => listUsableEndpoints().reduce((sum, { slots }) => sum + slots.free(), 0),
    selectEndpoint: selectEndpoint,
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
