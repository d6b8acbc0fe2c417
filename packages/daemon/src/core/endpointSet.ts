/**
 * The endpoints that serve one partition: their free slots, the choice among them, and the slots that requests of
 * a former owner may still use.
 */
import type { Clock, VmRecord } from '@chicorybend/common';

import type { Endpoint } from './endpoint.js';
import type { HandedEndpoints } from './endpointPool.js';

/** Endpoints of one partition. */
export interface EndpointSet {
  /**
   * Takes the endpoints of the VM list.
   *
   * @param vms endpoint VMs of this partition
   */
  update(vms: readonly VmRecord[]): void;
  /** Forgets endpoints that left the VM list, once their requests have ended. */
  dropAbsent(): void;
  /** @returns number of slots of usable endpoints that are free or become free with an answer */
  countServing(): number;
  /** @returns number of free slots of usable endpoints */
  countFree(): number;
  /**
   * Chooses the endpoint with the largest free part of its slots, if possible one that was not tried.
   *
   * @param tried ids of the endpoints that the request was sent to
   * @returns the endpoint, or undefined without a free slot
   */
  choose(tried: ReadonlySet<string>): Endpoint | undefined;
  /**
   * Blocks the slots that the former owner's requests may use.
   *
   * @param slots slots of the handover
   */
  adopt(slots: HandedEndpoints['slots']): void;
  /** @returns the slots in use, for the next owner */
  listSlots(): HandedEndpoints['slots'];
  stop(): void;
}

/** What a set of endpoints needs. */
export interface EndpointSetOptions {
  readonly clock: Clock;
  readonly createEndpoint: (vm: VmRecord) => Endpoint;
  /** Called for each slot that a former owner's request of a team still uses. */
  readonly onAdopted: (team: string) => void;
}

/** A slot that a former owner's request may hold. */
interface AdoptedSlot {
  readonly endpointId: string;
  readonly team: string;
  readonly endsBy: number;
}

function freePart({ slots }: Endpoint): number {
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
  let unlisted: AdoptedSlot[] = [];

  function listUsable(): Endpoint[] {
    return [...endpoints.values()].filter((endpoint) => endpoint.isUsable());
  }

  function choose(tried: ReadonlySet<string>): Endpoint | undefined {
    const free = listUsable().filter((endpoint) => endpoint.slots.free() > 0);
    const untried = free.filter((endpoint) => !tried.has(endpoint.endpointId));
    const candidates = untried.length > 0 ? untried : free;
    return candidates.reduce<Endpoint | undefined>(
      (best, each) => (best && freePart(best) >= freePart(each) ? best : each),
      undefined,
    );
  }

  function dropAbsent(): void {
    endpoints.forEach((endpoint, name) => {
      if (!endpoint.isAbsent() || endpoint.slots.inUse().length > 0) return;
      endpoint.stop();
      endpoints.delete(name);
    });
  }

  /** The former owner's VM list may be newer than this one; its slots are kept for endpoints not listed yet. */
  function adoptUnlisted(): void {
    const now = clock.monotonicMilliseconds();
    unlisted = unlisted.filter(({ endpointId, team, endsBy }) => {
      const endpoint = [...endpoints.values()].find((each) => each.endpointId === endpointId);
      if (endpoint && endsBy > now) {
        endpoint.slots.adopt(team, endsBy - now);
        options.onAdopted(team);
      }
      return !endpoint && endsBy > now;
    });
  }

  return {
    update(vms) {
      const listed = new Map(vms.map((vm) => [`${vm.id} ${vm.address}`, vm]));
      endpoints.forEach((endpoint, name) => endpoint.update(listed.get(name) ?? null));
      dropAbsent();
      listed.forEach((vm, name) => {
        if (!endpoints.has(name)) endpoints.set(name, options.createEndpoint(vm));
      });
      adoptUnlisted();
    },
    dropAbsent,
    countServing: () => listUsable().reduce((sum, { slots }) => sum + slots.serving(), 0),
    countFree: () => listUsable().reduce((sum, { slots }) => sum + slots.free(), 0),
    choose,
    adopt(slots) {
      const now = clock.monotonicMilliseconds();
      unlisted = slots.map((slot) => ({ ...slot, endsBy: now + slot.remainingMilliseconds }));
      adoptUnlisted();
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
