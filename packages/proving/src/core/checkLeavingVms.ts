import type { RunEntry } from '@chicorybend/standins';

import type { Violation } from '../types/violation.js';
import { sortByTime } from '../utils/timeline.js';

/** "After a few seconds": several polls of the VM list and the requests that were on their way. */
const LEAVING_GRACE_MILLISECONDS = 5_000;

function readVmOfStart(entry: RunEntry): string | null {
  if (entry.type === 'task-started') return entry.workerId;
  return entry.type === 'request-started' ? entry.endpointId : null;
}

/**
 * Checks that a VM gets no new work a few seconds after the list shows it as leaving or no longer.
 *
 * @param entries record of what ran
 * @returns violations
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
