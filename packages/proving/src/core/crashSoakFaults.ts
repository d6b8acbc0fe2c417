import type { EndpointEntry } from '@chicorybend/scheduler';

import type { CrashSoakProfile } from '../types/crashSoak.js';
import type { Random } from '../utils/random.js';
import { createRestartEpisodes, NO_LATE_ORDERS, SERIES_GAP } from './crashSoakRestarts.js';
import type { SchedulerCell } from './schedulerCell.js';

const DOWN_MILLISECONDS = 3_000;
const GAP = { shortestMilliseconds: 200, longestMilliseconds: 2_800 };
/** Processes of the cell besides those that were killed. */
const PROCESSES = 3;

/** Why an endpoint crashed, other than by a run. */
export type CrashCause = 'single' | 'rack';

export interface CrashSoakFaultOptions {
  readonly cell: SchedulerCell;
  readonly random: Random;
  readonly profile: CrashSoakProfile;
  /** When the last fault ends, in monotonic milliseconds. */
  readonly endMilliseconds: number;
  /** Longest time for which endpoints are cut off, in milliseconds. */
  readonly longestCutMilliseconds: number;
  readonly report: (text: string) => void;
}

/** Faults of a crash soak, one after the other and overlapping. */
export interface CrashSoakFaults {
  /** Schedules the faults. */
  start(): void;
  /** Reverts all faults. */
  heal(): void;
  /** Called before a run crashes its endpoint; sometimes kills the owner right after. */
  onRunCrash(delayMilliseconds: number): void;
  /** By `<endpoint>/<start time>`: causes of crashes. */
  readonly causes: ReadonlyMap<string, CrashCause>;
}

export function createCrashSoakFaults(options: CrashSoakFaultOptions): CrashSoakFaults {
  const { cell, random, endMilliseconds, report } = options;
  const { clock, fleet, store } = cell;
  const fullCapacity = fleet.entries()[0]!.capacity;
  const causes = new Map<string, CrashCause>();
  let startedProcesses = 0;
  let killsAfterCrash = 0;

  function now(): number {
    return clock.monotonicMilliseconds();
  }

  /** Runs a call after a delay, but not after the end of the faults. */
  function later(delayMilliseconds: number, call: () => void): void {
    clock.setTimer(
      () => {
        if (now() <= endMilliseconds) call();
      },
      Math.max(0, delayMilliseconds),
    );
  }

  function startProcess(): void {
    cell.startProcess(`process-${startedProcesses}`);
    startedProcesses += 1;
  }

  function crash(entry: EndpointEntry, cause: CrashCause, downMilliseconds: number): void {
    if (!fleet.isUp(entry.endpointId)) return;
    causes.set(`${entry.endpointId}/${entry.bornAt}`, cause);
    const keepsId = random.chance(0.25);
    report(`crash of ${entry.endpointId} (${cause}) for ${downMilliseconds} ms`);
    fleet.crash(entry.endpointId, { downMilliseconds, keepsId });
  }

  /** @returns latest entry of the machine at a position */
  function entryAt(position: number): EndpointEntry {
    return fleet.entries()[position]!;
  }

  function pickPosition(): number {
    return random.integer(0, fleet.entries().length - 1);
  }

  function pickPositions(highest: number): number[] {
    const count = random.integer(1, highest);
    return [...new Set(Array.from({ length: count }, pickPosition))];
  }

  function flap(position: number, crashes: number): void {
    crash(entryAt(position), 'single', DOWN_MILLISECONDS);
    if (crashes <= 1) return;
    later(DOWN_MILLISECONDS + random.integer(200, 2_500), () => flap(position, crashes - 1));
  }

  function loseRack(losses: number): void {
    const { rack } = entryAt(pickPosition());
    const downMilliseconds = random.integer(DOWN_MILLISECONDS, 8_000);
    const spreadMilliseconds = random.pick([0, 0, 100]);
    report(`loss of ${rack}`);
    fleet.entries().forEach((entry, position) => {
      if (entry.rack !== rack) return;
      later(random.integer(0, spreadMilliseconds), () =>
        crash(entryAt(position), 'rack', downMilliseconds),
      );
    });
    if (losses > 1) later(random.integer(2_000, 9_000), () => loseRack(losses - 1));
  }

  function cutOff(positions: readonly number[]): void {
    const milliseconds = random.integer(500, options.longestCutMilliseconds);
    const faults = positions.map((position) => fleet.faultsOf(entryAt(position).endpointId));
    report(`cut of ${positions.length} endpoints for ${milliseconds} ms`);
    faults.forEach((entry) => Object.assign(entry, { isCutOff: true }));
    later(milliseconds, () => faults.forEach((entry) => Object.assign(entry, { isCutOff: false })));
  }

  function releaseInTurn(positions: readonly number[]): void {
    const gapMilliseconds = random.integer(200, 2_000);
    positions.forEach((position, turn) =>
      later(turn * gapMilliseconds, () => {
        const { endpointId } = entryAt(position);
        if (!fleet.isUp(endpointId)) return;
        const remainingMilliseconds = random.integer(500, 4_000);
        report(`drain of ${endpointId}, released in ${remainingMilliseconds} ms`);
        fleet.drain(endpointId, remainingMilliseconds);
        clock.setTimer(
          () => fleet.release(endpointId, random.integer(1_000, 5_000)),
          remainingMilliseconds,
        );
      }),
    );
  }

  function resize(position: number, fraction: number): void {
    const { endpointId } = entryAt(position);
    report(`capacity of ${endpointId} changes to ${fraction}`);
    fleet.resize(endpointId, {
      processors: fullCapacity.processors * fraction,
      memoryBytes: fullCapacity.memoryBytes * fraction,
      accelerators: 0,
    });
  }

  function shrink(positions: readonly number[]): void {
    const milliseconds = random.integer(4_000, 15_000);
    const fraction = random.pick([0.25, 0.5, 0.75]);
    positions.forEach((position) => {
      resize(position, fraction);
      later(milliseconds, () => resize(position, 1));
    });
  }

  function killOwner(): void {
    report(`owner killed${cell.currentTerm() ? '' : ' (there is none)'}`);
    cell.killOwner();
    clock.setTimer(startProcess, random.integer(0, 2_000));
  }

  function silenceStore(): void {
    const running = cell.processNames();
    const names = random.chance(0.5) ? running : [random.pick(running)];
    const milliseconds = random.integer(200, 5_000);
    const outage = random.pick(['silent', 'busy'] as const);
    report(`store ${outage} for ${names.join(' ')} for ${milliseconds} ms`);
    names.forEach((name) => Object.assign(store.faultsOf(name), { outage }));
    later(milliseconds, () =>
      cell.processNames().forEach((name) => Object.assign(store.faultsOf(name), { outage: null })),
    );
  }

  function loseAnswers(): void {
    const milliseconds = random.integer(1_000, 8_000);
    const lostAnswerFraction = random.pick([0.1, 0.3, 0.6]);
    const unansweredWriteDelayMilliseconds = random.pick([null, 300, 1_500]);
    const names = cell.processNames();
    report(`answers of the store lost (${lostAnswerFraction}) for ${milliseconds} ms`);
    names.forEach((name) =>
      Object.assign(store.faultsOf(name), { lostAnswerFraction, unansweredWriteDelayMilliseconds }),
    );
    later(milliseconds, () =>
      names.forEach((name) => Object.assign(store.faultsOf(name), { lostAnswerFraction: 0 })),
    );
  }

  function delayStarts(positions: readonly number[]): void {
    const milliseconds = random.integer(500, 4_000);
    const unansweredStartDelayMilliseconds = random.integer(200, 3_000);
    const faults = positions.map((position) => fleet.faultsOf(entryAt(position).endpointId));
    report(
      `starts at ${positions.length} endpoints unanswered and ${unansweredStartDelayMilliseconds} ms late for ${milliseconds} ms`,
    );
    faults.forEach((entry) => Object.assign(entry, { unansweredStartDelayMilliseconds }));
    later(milliseconds, () =>
      faults.forEach((entry) => Object.assign(entry, { unansweredStartDelayMilliseconds: null })),
    );
  }

  const restartEpisodes = createRestartEpisodes({
    fleet,
    random,
    later,
    killOwner,
    restart(endpointId) {
      const { bornAt } = fleet.entries().find((entry) => entry.endpointId === endpointId)!;
      causes.set(`${endpointId}/${bornAt}`, 'single');
      fleet.restart(endpointId);
    },
    report,
  });

  const allKinds: readonly (() => void)[] = [
    () => crash(entryAt(pickPosition()), 'single', DOWN_MILLISECONDS),
    () => flap(pickPosition(), random.integer(2, 4)),
    () => loseRack(random.integer(1, 2)),
    () => cutOff(pickPositions(6)),
    () => releaseInTurn(pickPositions(8)),
    () => shrink(pickPositions(6)),
    killOwner,
    () => {
      killsAfterCrash += 1;
    },
    silenceStore,
    loseAnswers,
    () => delayStarts(pickPositions(5)),
  ];

  const isRandom = options.profile === 'random';
  const kinds = isRandom
    ? allKinds
    : [() => restartEpisodes.start(pickPositions(4).map((position) => entryAt(position)))];
  const { shortestMilliseconds, longestMilliseconds } = isRandom ? GAP : SERIES_GAP;

  function scheduleNext(): void {
    later(random.integer(shortestMilliseconds, longestMilliseconds), () => {
      random.pick(kinds)();
      scheduleNext();
    });
  }

  return {
    causes,
    start() {
      for (let index = 0; index < PROCESSES; index += 1) startProcess();
      scheduleNext();
    },
    heal() {
      report('all faults end');
      fleet.entries().forEach((entry, position) => {
        Object.assign(fleet.faultsOf(entry.endpointId), {
          isCutOff: false,
          ...NO_LATE_ORDERS,
        });
        resize(position, 1);
      });
      cell
        .processNames()
        .forEach((name) =>
          Object.assign(store.faultsOf(name), { outage: null, lostAnswerFraction: 0 }),
        );
    },
    onRunCrash(delayMilliseconds) {
      if (killsAfterCrash === 0) return;
      killsAfterCrash -= 1;
      later(delayMilliseconds + random.integer(0, 60), killOwner);
    },
  };
}
