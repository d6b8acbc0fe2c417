import type { RunEntry } from '@chicorybend/standins';

import type { Violation } from '../types/violation.js';
import { sortByTime } from '../utils/timeline.js';

/** Covers several polls of the VM list and the requests already in flight when the VM is listed as leaving. */
const LEAVING_GRACE_MILLISECONDS = 5_000;

function readVmOfStart(entry: RunEntry): string | null {
  if (entry.type === 'task-started') return entry.workerId;
  return entry.type === 'request-started' ? entry.endpointId : null;
}

/**
 * Checks that no task or request starts on a VM later than a few seconds after the VM list first shows it as leaving
 * or no longer shows it.
 *
 * @param entries record of the stand-ins
 */
export function checkLeavingVms(entries: readonly RunEntry[]): Violation[] {
  const leavingSince = new Map<string, number>();
  return sortByTime(entries).flatMap((entry): Violation[] => {
    if (entry.type === 'vm-listed') {
      if (entry.state === 'live') leavingSince.delete(entry.vmId);
      else if (!leavingSince.has(entry.vmId)) leavingSince.set(entry.vmId, entry.at);
      return [];
    }
    const vmId = readVmOfStart(entry);
    const since = vmId === null ? undefined : leavingSince.get(vmId);
    if (vmId === null || since === undefined) return [];
    const leavingMilliseconds = entry.at - since;
    if (leavingMilliseconds <= LEAVING_GRACE_MILLISECONDS) return [];
    return [{ kind: 'leaving-vm-used', vmId, at: entry.at, leavingMilliseconds }];
  });
}
