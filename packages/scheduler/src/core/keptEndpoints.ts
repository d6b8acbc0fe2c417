import { createUrgentHeadroom } from '@chicorybend/decisions';
import type { HeadroomEndpoint, ServiceLoad, UrgentHeadroom } from '@chicorybend/decisions';

import type { TermContext } from '../types/termContext.js';
import type { StepRecord } from '../types/jobRecord.js';
import type { TaskTransitions } from './taskTransitions.js';

/** Interval of choosing the endpoints; short against the duration of a batch task. */
const INTERVAL_MILLISECONDS = 250;

/** Endpoints that are kept for urgent tasks, by the demand in each service. */
export interface KeptEndpoints {
  /** @returns ids of the endpoints on which no other tasks are placed now */
  current(): ReadonlySet<string>;
}

interface MutableServiceLoad extends ServiceLoad {
  urgentDemand: number;
  inUse: number;
  readonly endpoints: HeadroomEndpoint[];
}

/** Creates the choice for one term; it is made again when it is asked for and older than the interval. */
export function createKeptEndpoints(
  context: TermContext,
  transitions: TaskTransitions,
): KeptEndpoints {
  const { clock, evacuations, settings, table } = context;
  const headrooms = new Map<string, UrgentHeadroom>();
  let kept: ReadonlySet<string> = new Set();
  let chosenAt = -Infinity;

  /** @returns processors that each task of a step adds to the urgent demand */
  function urgentProcessors({ specification, job }: StepRecord): number {
    const isUrgent = settings.isUrgent(job) && !specification.isLongRunning;
    return isUrgent ? specification.resources.processors : 0;
  }

  /** @returns loads of the services that have endpoints */
  function measureLoads(): Map<string, MutableServiceLoad> {
    const loads = new Map<string, MutableServiceLoad>();
    for (const { entry, isListed, used } of table.all()) {
      if (isListed && !entry.isDraining && evacuations.isInService(entry.dataCentre)) {
        const { endpointId, capacity, service } = entry;
        const load = loads.get(service) ?? { urgentDemand: 0, inUse: 0, endpoints: [] };
        load.endpoints.push({ endpointId, processors: capacity.processors });
        load.inUse += used.processors;
        loads.set(service, load);
      }
    }
    function addDemand(service: string | undefined, processors: number): void {
      const load = service === undefined ? undefined : loads.get(service);
      if (load) load.urgentDemand += processors;
    }
    for (const { entry, runs } of table.all()) {
      runs.forEach(({ step }) => addDemand(entry.service, urgentProcessors(step)));
    }
    transitions.releasedSteps.forEach((step) => {
      const waiting = step.tasks.filter(({ phase }) => phase === 'pending').length;
      addDemand(settings.queueOf(step.job)?.service, waiting * urgentProcessors(step));
    });
    return loads;
  }

  function headroomOf(service: string): UrgentHeadroom {
    const known = headrooms.get(service);
    if (known) return known;
    const created = createUrgentHeadroom();
    headrooms.set(service, created);
    return created;
  }

  return {
    current() {
      const now = clock.monotonicMilliseconds();
      if (now - chosenAt < INTERVAL_MILLISECONDS) return kept;
      chosenAt = now;
      kept = new Set(
        [...measureLoads()].flatMap(([service, load]) => [
          ...headroomOf(service).choose(load, now),
        ]),
      );
      return kept;
    },
  };
}
