import { createUrgentHeadroom } from '@chicorybend/decisions';
import type { HeadroomEndpoint, ServiceLoad, UrgentHeadroom } from '@chicorybend/decisions';

import type { TermContext } from '../types/termContext.js';
import type { TaskRecord } from '../types/jobRecord.js';
import type { TaskTransitions } from './taskTransitions.js';

/** Interval of choosing the endpoints; short against the duration of a batch task. */
const INTERVAL_MILLISECONDS = 250;
/** Priority of queues whose callers wait for the result. */
export const URGENT_PRIORITY = 0;

/** Endpoints that are kept for urgent tasks, by the demand in each service. */
export interface KeptEndpoints {
  /** @returns ids of the endpoints on which no other tasks are placed now */
  current(): ReadonlySet<string>;
}

interface MutableServiceLoad extends ServiceLoad {
  inUse: number;
  readonly endpoints: HeadroomEndpoint[];
}

/** Creates the choice for one term; it is made again when it is asked for and older than the interval. */
export function createKeptEndpoints(
  context: TermContext,
  transitions: TaskTransitions,
): KeptEndpoints {
  const { clock, settings, table } = context;
  const headrooms = new Map<string, UrgentHeadroom>();
  let kept: ReadonlySet<string> = new Set();
  let chosenAt = -Infinity;

  function urgentProcessors(task: TaskRecord): number {
    const { specification, job } = task.step;
    const isUrgent = settings.queueOf(job)?.priority === URGENT_PRIORITY;
    return isUrgent && !specification.isLongRunning ? specification.resources.processors : 0;
  }

  /** @returns by service: processors of the urgent tasks that run or wait */
  function sumDemand(): Map<string, number> {
    const demand = new Map<string, number>();
    const add = (service: string, processors: number) =>
      demand.set(service, (demand.get(service) ?? 0) + processors);
    for (const { entry, runs } of table.all()) {
      runs.forEach((task) => add(entry.service, urgentProcessors(task)));
    }
    transitions.releasedSteps.forEach((step) => {
      const service = settings.queueOf(step.job)?.service;
      if (service === undefined) return;
      const waiting = step.tasks.filter(({ phase }) => phase === 'pending');
      add(
        service,
        waiting.reduce((sum, task) => sum + urgentProcessors(task), 0),
      );
    });
    return demand;
  }

  function listServices(): Map<string, MutableServiceLoad> {
    const services = new Map<string, MutableServiceLoad>();
    const demand = sumDemand();
    for (const { entry, isListed, used } of table.all()) {
      if (isListed && !entry.isDraining) {
        const { endpointId, capacity, service } = entry;
        const urgentDemand = demand.get(service) ?? 0;
        const load = services.get(service) ?? { urgentDemand, inUse: 0, endpoints: [] };
        load.endpoints.push({ endpointId, processors: capacity.processors });
        load.inUse += used.processors;
        services.set(service, load);
      }
    }
    return services;
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
        [...listServices()].flatMap(([service, load]) => [
          ...headroomOf(service).choose(load, now),
        ]),
      );
      return kept;
    },
  };
}
