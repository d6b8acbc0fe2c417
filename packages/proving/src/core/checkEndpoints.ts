import type { EndpointUpEntry, RunEntry } from '@chicorybend/standins';

import type { Violation } from '../types/violation.js';
import { sortByTime } from '../utils/timeline.js';

interface EndpointLoad {
  readonly limits: EndpointUpEntry;
  readonly executions: Set<number>;
}

function checkSlots(load: EndpointLoad, at: number): Violation[] {
  const { endpointId, slots } = load.limits;
  const running = load.executions.size;
  if (running <= slots) return [];
  return [{ kind: 'endpoint-slots-exceeded', endpointId, at, running, slots }];
}

function checkOpenConnections(load: EndpointLoad, open: number, at: number): Violation[] {
  const { endpointId, connections } = load.limits;
  if (open <= connections) return [];
  return [{ kind: 'endpoint-connections-exceeded', endpointId, at, open, connections }];
}

/**
 * Checks that no endpoint runs more requests than it has slots or has more open connections than it accepts.
 *
 * @param entries record of the stand-ins
 */
export function checkEndpoints(entries: readonly RunEntry[]): Violation[] {
  const loads = new Map<string, EndpointLoad>();
  return sortByTime(entries).flatMap((entry): Violation[] => {
    if (entry.type === 'endpoint-up') {
      loads.set(entry.endpointId, { limits: entry, executions: new Set() });
      return [];
    }
    if (!('endpointId' in entry)) return [];
    const load = loads.get(entry.endpointId);
    if (!load) return [];
    if (entry.type === 'connections') return checkOpenConnections(load, entry.open, entry.at);
    if (entry.type === 'request-ended') {
      load.executions.delete(entry.executionId);
      return [];
    }
    load.executions.add(entry.executionId);
    return checkSlots(load, entry.at);
  });
}
