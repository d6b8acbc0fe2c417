import type { CancelTimer, Clock } from '@chicorybend/common';
import type { EndKind } from '@chicorybend/scheduler';

import type { FleetGangMembership, FleetRun } from '../types/fleet.js';

/** Members wait this long for the others. */
const WAIT_MILLISECONDS = 3_000;

/** Ends a run at its endpoint; no effect if it has ended. */
export type EndRecord = (record: FleetRun, kind: EndKind) => void;

interface Gang {
  readonly members: Map<FleetRun, EndRecord>;
  cancelEnd: CancelTimer | null;
}

/** Gangs whose members work only while all of one run are present, and succeed together. */
export interface FleetGangs {
  /**
   * Adds a run that has started.
   *
   * @param duration time from the start of the last member to the success of all, in milliseconds
   */
  join(gang: FleetGangMembership, record: FleetRun, duration: number, end: EndRecord): void;
  /** Ends the other members of the gang of a run that has ended. */
  leave(gang: FleetGangMembership, record: FleetRun): void;
}

export function createFleetGangs(clock: Clock): FleetGangs {
  /** By gang id and run. */
  const gangs = new Map<string, Gang>();

  function keyOf({ gangId }: FleetGangMembership, { run }: FleetRun): string {
    return `${gangId}/${run}`;
  }

  return {
    join(membership, record, duration, end) {
      const key = keyOf(membership, record);
      const gang = gangs.get(key) ?? { members: new Map<FleetRun, EndRecord>(), cancelEnd: null };
      gangs.set(key, gang);
      gang.members.set(record, end);
      clock.setTimer(() => {
        if (gang.members.size < membership.size) end(record, 'alone');
      }, WAIT_MILLISECONDS);
      if (gang.members.size < membership.size || !Number.isFinite(duration)) return;
      gang.cancelEnd = clock.setTimer(() => {
        gangs.delete(key);
        gang.members.forEach((endMember, member) => endMember(member, 'done'));
      }, duration);
    },
    leave(membership, record) {
      const key = keyOf(membership, record);
      const gang = gangs.get(key);
      if (!gang?.members.has(record)) return;
      gang.cancelEnd?.();
      gangs.delete(key);
      gang.members.delete(record);
      gang.members.forEach((endMember, member) => endMember(member, 'broken'));
    },
  };
}
