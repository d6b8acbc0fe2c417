import {
  chooseEndpointsForAdvice,
  chooseEndpoint,
  addResources,
  orderSteps,
} from '@chicorybend/decisions';
import type { EndpointRequirements, OrderingKey } from '@chicorybend/decisions';
import { RESOURCE_DIMENSIONS } from '@chicorybend/common';
import type { CancelTimer, Resources } from '@chicorybend/common';

import type { JobQueueSettings } from '../types/configuration.js';
import type { StepRecord, TaskRecord } from '../types/jobRecord.js';
import type { TermContext } from '../types/termContext.js';
import type { AdviceCache, AdviceRequest } from './adviceCache.js';
import type { EndpointSession } from './endpointSession.js';
import { chargedResources } from './endpointTable.js';
import type { EndpointState } from './endpointTable.js';
import { hasActiveRun } from './jobRecords.js';
import { findUpcomingSteps } from './upcomingSteps.js';
import { collectCandidates } from './roundCandidates.js';
import type { RoundCandidate } from './roundCandidates.js';
import type { TaskTransitions } from './taskTransitions.js';
import { computeStepOrder, sumCapacity } from './stepOrder.js';

/** Placements that become possible within this time are decided together, in milliseconds. */
const GATHER_MILLISECONDS = 5;

/** Part of the time that rounds may take. */
const ROUND_SHARE = 0.5;

/** Priority of queues whose callers wait. */
const URGENT_PRIORITY = 0;

/** What the dispatcher needs. */
export interface DispatcherOptions {
  readonly context: TermContext;
  readonly transitions: TaskTransitions;
  readonly adviceCache: AdviceCache;
  readonly sessionOf: (endpointId: string) => EndpointSession | undefined;
  /** Stops the filling tasks on an endpoint. */
  readonly stopFillingTasks: (state: EndpointState) => void;
}

/** Starts pending tasks where they fit. */
export interface Dispatcher {
  /** Asks for a round soon. */
  requestRound(): void;
  /** Asks ahead for the advice that steps are going to need soon. */
  prefetchAdvice(): void;
  /** Writes a line about the room and the work that waits, if any does. */
  logBacklog(): void;
  close(): void;
}

/** Why tasks of a step were not started in a round. */
type Obstacle = 'limit' | 'room' | 'advice';

/** Tasks that wait, by queue and obstacle, as `<queue>/<obstacle>`. */
type Obstacles = Map<string, number>;

/** Work of one round. */
interface RoundWork {
  readonly step: StepRecord;
  readonly queue: JobQueueSettings;
  readonly order: OrderingKey;
}

interface Placement {
  readonly task: TaskRecord;
  readonly candidate: RoundCandidate;
}

/**
 * Creates the dispatcher of a term.
 *
 * @param options collaborators
 * @returns dispatcher
 */
export function createDispatcher(options: DispatcherOptions): Dispatcher {
  const { context, transitions, adviceCache: desk } = options;
  const { clock, log, table } = context;
  let cancelRound: CancelTimer | null = null;
  let gatherMilliseconds = GATHER_MILLISECONDS;
  /** Steps whose turn comes soon. */
  let prefetched: StepRecord[] = [];
  /** Why work waited in the last round. */
  let obstacles: Obstacles = new Map();

  /** @returns endpoints that may run the step as far as is known */
  function selectCandidates(
    step: StepRecord,
    queue: JobQueueSettings,
    all: readonly RoundCandidate[],
  ): RoundCandidate[] {
    const { requiredHardware, maximumPerEndpoint } = step.specification;
    const selected = all.filter(
      ({ state }) =>
        state.entry.service === queue.service &&
        (requiredHardware === '' || state.entry.hardware === requiredHardware) &&
        (!queue.advice || desk.isEligible(step.stepId, asked(state)) !== false),
    );
    if (maximumPerEndpoint > 0) {
      selected.forEach((candidate) => {
        candidate.stepTaskCount = 0;
      });
      step.tasks.filter(hasActiveRun).forEach(({ endpointId }) => {
        const host = selected.find((candidate) => candidate.endpointId === endpointId);
        if (host) host.stepTaskCount += 1;
      });
    }
    return selected;
  }

  function asked({ entry, bornAt }: EndpointState) {
    return { endpointId: entry.endpointId, bornAt };
  }

  /**
   * The announced time of a call is mostly the call itself, so that it is also about endpoints that may have room
   * only while the tickets are valid.
   *
   * @returns a call about the endpoints that are known to be good and those that are not known
   */
  function adviceFor(
    step: StepRecord,
    queue: JobQueueSettings,
    candidates: readonly RoundCandidate[],
  ): AdviceRequest | null {
    if (!queue.advice) return null;
    const unknown = candidates.filter(
      ({ state }) => desk.ticketFor(step.stepId, asked(state)) === null,
    );
    if (unknown.length === 0) return null;
    const chosen = chooseEndpointsForAdvice(unknown, requestOf(step, []), queue.advice);
    const endpoints = chosen.map(({ state }) => asked(state));
    return { stepId: step.stepId, endpoints, settings: queue.advice };
  }

  function requestOf(step: StepRecord, racksInUse: readonly string[]): EndpointRequirements {
    const { specification } = step;
    return {
      resources: chargedResources(specification),
      preferredRacks:
        specification.preferredRack === '' ? racksInUse : [specification.preferredRack],
      maximumPerEndpoint: specification.maximumPerEndpoint,
      isFilling: specification.isFilling,
      isServing: specification.targetMilliseconds > 0,
      isUrgent: context.queue(step.job.queue)?.priority === URGENT_PRIORITY,
    };
  }

  function fitsLimit(step: StepRecord, used: Resources): boolean {
    const limit = context.team(step.job.team)?.limit;
    if (!limit) return true;
    return RESOURCE_DIMENSIONS.every(
      (dimension) => limit[dimension] === 0 || used[dimension] <= limit[dimension],
    );
  }

  function withoutAvoided(task: TaskRecord, candidates: readonly RoundCandidate[]) {
    const { avoidedEndpointId, avoidedUntil } = task;
    if (avoidedEndpointId === null || avoidedUntil <= clock.monotonicMilliseconds()) {
      return candidates;
    }
    return candidates.filter(({ endpointId }) => endpointId !== avoidedEndpointId);
  }

  /** Chooses endpoints for as many tasks as fit, and takes their room for this round. */
  function plan(
    step: StepRecord,
    tasks: readonly TaskRecord[],
    candidates: readonly RoundCandidate[],
  ): { placements: Placement[]; obstacle: Obstacle } {
    const placements: Placement[] = [];
    const racks: string[] = [];
    let used = table.usedByTeam(step.job.team);
    for (const task of tasks) {
      used = addResources(used, step.specification.resources);
      if (!fitsLimit(step, used)) return { placements, obstacle: 'limit' };
      const request = requestOf(step, step.specification.prefersOneRack ? racks : []);
      const chosen = chooseEndpoint(withoutAvoided(task, candidates), request);
      if (!chosen) break;
      chosen.used = addResources(chosen.used, request.resources);
      chosen.stepTaskCount += 1;
      if (!racks.includes(chosen.rack)) racks.push(chosen.rack);
      placements.push({ task, candidate: chosen });
    }
    return { placements, obstacle: 'room' };
  }

  function noteObstacle({ queue }: RoundWork, obstacle: Obstacle, tasks: number): void {
    const key = `${queue.name}/${obstacle}`;
    obstacles.set(key, (obstacles.get(key) ?? 0) + tasks);
  }

  function unplan(step: StepRecord, placements: readonly Placement[]): void {
    placements.forEach(({ candidate }) => {
      candidate.used = addResources(candidate.used, chargedResources(step.specification), -1);
      candidate.stepTaskCount -= 1;
    });
  }

  function commitPlacement({ task, candidate: { state } }: Placement, run: number): void {
    task.run = run;
    task.phase = 'placed';
    task.endpointId = state.entry.endpointId;
    task.endpointBornAt = state.bornAt;
    task.absenceConclusiveAfter = Infinity;
    table.charge(state, task);
    transitions.recordStart(state.entry.endpointId);
    const { job } = task.step;
    if (!job.hasStarted) {
      job.hasStarted = true;
      context.metrics.record('first_start_milliseconds', clock.wallMilliseconds() - job.acceptedAt);
    }
  }

  /** Sends the starts once they are durable; those that can't be sent any more never were. */
  async function startAll(
    step: StepRecord,
    queue: JobQueueSettings,
    placements: readonly Placement[],
  ): Promise<void> {
    const runs = placements.map(({ task }) => task.run);
    const isDurable = await transitions.save(step.job);
    if (!isDurable || context.hasEnded()) return;
    const starts = placements
      .filter(({ task }, position) => task.run === runs[position] && task.phase === 'placed')
      .map(({ task, candidate: { state } }) => ({
        task,
        session: options.sessionOf(state.entry.endpointId),
        ticket: desk.ticketFor(step.stepId, asked(state)),
      }));
    const ready = starts.filter(
      ({ task, session, ticket }) =>
        step.job.phase === 'open' &&
        session?.canStart(task) === true &&
        (ticket !== null || !queue.advice),
    );
    const isComplete = ready.length === placements.length;
    const sent = new Set(step.specification.isGang && !isComplete ? [] : ready);
    starts.forEach((start) => {
      if (sent.has(start)) void start.session?.start(start.task, start.ticket);
      else transitions.dropRun(start.task, 'stopped');
    });
  }

  function pendingTasks(step: StepRecord): TaskRecord[] {
    const now = clock.monotonicMilliseconds();
    const pending = step.tasks.filter(
      ({ phase, notBefore }) => phase === 'pending' && notBefore <= now,
    );
    const isWhole = pending.length === step.specification.count && !step.tasks.some(hasActiveRun);
    return step.specification.isGang && !isWhole ? [] : pending;
  }

  function startPlacements(
    { step, queue }: RoundWork,
    pending: readonly TaskRecord[],
    placements: readonly Placement[],
  ): void {
    const { isGang } = step.specification;
    const gangRun = Math.max(...pending.map(({ run }) => run)) + 1;
    const checkpoint = pending.find((task) => task.checkpoint !== '')?.checkpoint ?? '';
    if (step.specification.targetMilliseconds > 0) {
      placements.forEach(({ candidate }) => options.stopFillingTasks(candidate.state));
    }
    placements.forEach((placement) => {
      if (isGang) placement.task.checkpoint = checkpoint;
      commitPlacement(placement, isGang ? gangRun : placement.task.run + 1);
    });
    log.info('tasks placed', {
      step: step.stepId,
      tasks: placements.length,
      pending: pending.length,
    });
    void startAll(step, queue, placements);
  }

  /**
   * Starts what fits where tickets are at hand. For the rest, room is kept for this round and tickets are asked
   * for, so that later work does not take the room while the answer is on its way.
   */
  function place(work: RoundWork, all: readonly RoundCandidate[]): AdviceRequest | null {
    const { step, queue } = work;
    const { isGang } = step.specification;
    const pending = pendingTasks(step);
    if (pending.length === 0) return null;
    const withOneMore = addResources(table.usedByTeam(step.job.team), step.specification.resources);
    if (!fitsLimit(step, withOneMore)) {
      noteObstacle(work, 'limit', pending.length);
      return null;
    }
    const candidates = selectCandidates(step, queue, all);
    const ticketed = queue.advice
      ? candidates.filter(({ state }) => desk.ticketFor(step.stepId, asked(state)) !== null)
      : candidates;
    const { placements } = plan(step, pending, ticketed);
    const isComplete = placements.length === pending.length;
    const mayStart = placements.length > 0 && (!isGang || isComplete);
    if (mayStart) startPlacements(work, pending, placements);
    if (isComplete) return null;
    const missing = mayStart ? pending.filter(({ phase }) => phase === 'pending') : pending;
    if (!mayStart) unplan(step, placements);
    const { placements: kept, obstacle } = plan(step, missing, candidates);
    // Room that is kept for a gang grows until all its tasks fit.
    const needsAdvice = isGang ? kept.length === missing.length : kept.length > 0;
    const request = needsAdvice ? adviceFor(step, queue, candidates) : null;
    noteObstacle(work, kept.length === missing.length ? 'advice' : obstacle, missing.length);
    return request;
  }

  function collectWork(): RoundWork[] {
    const total = sumCapacity(context);
    const work = [...transitions.releasedSteps].flatMap((step) => {
      const queue = context.queue(step.job.queue);
      if (!queue || step.job.phase !== 'open') return [];
      return [{ step, queue, order: computeStepOrder(context, step, queue, total) }];
    });
    return orderSteps(work);
  }

  function runRound(): void {
    cancelRound = null;
    if (!context.isOwnerLeaseValid() || !context.configuration()) return;
    const candidates = collectCandidates(context, transitions);
    const requests: AdviceRequest[] = [];
    obstacles = new Map();
    collectWork().forEach((work) => {
      const request = place(work, candidates);
      if (request) requests.push(request);
      if (!work.step.tasks.some(({ phase }) => phase === 'pending')) {
        transitions.releasedSteps.delete(work.step);
      }
    });
    desk.setRequests([
      ...requests,
      ...prefetched.flatMap((step) => prefetchRequest(step, candidates)),
    ]);
  }

  /** Long rounds come less often, so that other work of the process gets its turn. */
  function runTimedRound(): void {
    const startedAt = clock.monotonicMilliseconds();
    runRound();
    const took = clock.monotonicMilliseconds() - startedAt;
    gatherMilliseconds = Math.max(GATHER_MILLISECONDS, took / ROUND_SHARE);
  }

  function prefetchRequest(
    step: StepRecord,
    candidates: readonly RoundCandidate[],
  ): AdviceRequest[] {
    const queue = context.queue(step.job.queue);
    const isWanted = queue && !step.isReleased && step.job.phase === 'open';
    if (!isWanted || desk.hasTickets(step.stepId)) return [];
    const request = adviceFor(step, queue, selectCandidates(step, queue, candidates));
    return request ? [request] : [];
  }

  return {
    requestRound() {
      if (cancelRound) return;
      cancelRound = clock.setTimer(runTimedRound, gatherMilliseconds);
    },
    prefetchAdvice() {
      prefetched = findUpcomingSteps(context);
    },
    logBacklog() {
      if (obstacles.size === 0) return;
      const used = [...table.all()].reduce((sum, { used: { processors } }) => sum + processors, 0);
      log.info('work waits', {
        tasks: Object.fromEntries(obstacles),
        steps: transitions.releasedSteps.size,
        processorsUsed: Math.round(used),
        processors: Math.round(sumCapacity(context).processors),
        adviceLinesBusy: desk.busyChannels(),
      });
    },
    close() {
      cancelRound?.();
      cancelRound = null;
    },
  };
}
