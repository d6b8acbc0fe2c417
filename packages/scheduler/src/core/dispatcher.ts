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
const ROUND_DELAY_MILLISECONDS = 5;

/** Part of the time that rounds may take. */
const MAXIMUM_ROUND_TIME_SHARE = 0.5;

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
type BlockingReason = 'limit' | 'room' | 'advice';

/** Tasks that wait, by queue and obstacle, as `<queue>/<obstacle>`. */
type BlockedTaskCounts = Map<string, number>;

/** Work of one round. */
interface ReadyStep {
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
  const { context, transitions, adviceCache } = options;
  const { clock, log, table } = context;
  let cancelRound: CancelTimer | null = null;
  let roundDelayMilliseconds = ROUND_DELAY_MILLISECONDS;
  /** Steps whose turn comes soon. */
  let upcomingSteps: StepRecord[] = [];
  /** Why work waited in the last round. */
  let blockedTasks: BlockedTaskCounts = new Map();

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
        (!queue.advice || adviceCache.isEligible(step.stepId, incarnationOf(state)) !== false),
    );
    if (maximumPerEndpoint > 0) {
      selected.forEach((candidate) => {
        candidate.stepTaskCount = 0;
      });
      step.tasks.filter(hasActiveRun).forEach(({ endpointId }) => {
        const hostingCandidate = selected.find((candidate) => candidate.endpointId === endpointId);
        if (hostingCandidate) hostingCandidate.stepTaskCount += 1;
      });
    }
    return selected;
  }

  function incarnationOf({ entry, bornAt }: EndpointState) {
    return { endpointId: entry.endpointId, bornAt };
  }

  /**
   * The announced time of a call is mostly the call itself, so that it is also about endpoints that may have room
   * only while the tickets are valid.
   *
   * @returns a call about the endpoints that are known to be good and those that are not known
   */
  function createAdviceRequest(
    step: StepRecord,
    queue: JobQueueSettings,
    candidates: readonly RoundCandidate[],
  ): AdviceRequest | null {
    if (!queue.advice) return null;
    const withoutTicket = candidates.filter(
      ({ state }) => adviceCache.ticketFor(step.stepId, incarnationOf(state)) === null,
    );
    if (withoutTicket.length === 0) return null;
    const chosen = chooseEndpointsForAdvice(
      withoutTicket,
      createEndpointRequirements(step, []),
      queue.advice,
    );
    const endpoints = chosen.map(({ state }) => incarnationOf(state));
    return { stepId: step.stepId, endpoints, settings: queue.advice };
  }

  function createEndpointRequirements(
    step: StepRecord,
    racksInUse: readonly string[],
  ): EndpointRequirements {
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

  function fitsTeamLimit(step: StepRecord, used: Resources): boolean {
    const limit = context.team(step.job.team)?.limit;
    if (!limit) return true;
    return RESOURCE_DIMENSIONS.every(
      (dimension) => limit[dimension] === 0 || used[dimension] <= limit[dimension],
    );
  }

  function excludeAvoidedEndpoint(task: TaskRecord, candidates: readonly RoundCandidate[]) {
    const { avoidedEndpointId, avoidedUntil } = task;
    if (avoidedEndpointId === null || avoidedUntil <= clock.monotonicMilliseconds()) {
      return candidates;
    }
    return candidates.filter(({ endpointId }) => endpointId !== avoidedEndpointId);
  }

  /** Chooses endpoints for as many tasks as fit, and takes their room for this round. */
  function planPlacements(
    step: StepRecord,
    tasks: readonly TaskRecord[],
    candidates: readonly RoundCandidate[],
  ): { placements: Placement[]; blockedBy: BlockingReason } {
    const placements: Placement[] = [];
    const racks: string[] = [];
    let used = table.usedByTeam(step.job.team);
    for (const task of tasks) {
      used = addResources(used, step.specification.resources);
      if (!fitsTeamLimit(step, used)) return { placements, blockedBy: 'limit' };
      const requirements = createEndpointRequirements(
        step,
        step.specification.prefersOneRack ? racks : [],
      );
      const chosen = chooseEndpoint(excludeAvoidedEndpoint(task, candidates), requirements);
      if (!chosen) break;
      chosen.used = addResources(chosen.used, requirements.resources);
      chosen.stepTaskCount += 1;
      if (!racks.includes(chosen.rack)) racks.push(chosen.rack);
      placements.push({ task, candidate: chosen });
    }
    return { placements, blockedBy: 'room' };
  }

  function countBlockedTasks({ queue }: ReadyStep, blockedBy: BlockingReason, tasks: number): void {
    const key = `${queue.name}/${blockedBy}`;
    blockedTasks.set(key, (blockedTasks.get(key) ?? 0) + tasks);
  }

  function releasePlannedRoom(step: StepRecord, placements: readonly Placement[]): void {
    placements.forEach(({ candidate }) => {
      candidate.used = addResources(candidate.used, chargedResources(step.specification), -1);
      candidate.stepTaskCount -= 1;
    });
  }

  function recordPlacement({ task, candidate: { state } }: Placement, run: number): void {
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
  async function startWhenDurable(
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
        ticket: adviceCache.ticketFor(step.stepId, incarnationOf(state)),
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

  function startableTasks(step: StepRecord): TaskRecord[] {
    const now = clock.monotonicMilliseconds();
    const pending = step.tasks.filter(
      ({ phase, notBefore }) => phase === 'pending' && notBefore <= now,
    );
    const isGangPending =
      pending.length === step.specification.count && !step.tasks.some(hasActiveRun);
    return step.specification.isGang && !isGangPending ? [] : pending;
  }

  function startPlacements(
    { step, queue }: ReadyStep,
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
      recordPlacement(placement, isGang ? gangRun : placement.task.run + 1);
    });
    log.info('tasks placed', {
      step: step.stepId,
      tasks: placements.length,
      pending: pending.length,
    });
    void startWhenDurable(step, queue, placements);
  }

  /**
   * Starts what fits where tickets are at hand. For the rest, room is kept for this round and tickets are asked
   * for, so that later work does not take the room while the answer is on its way.
   */
  function placeStep(readyStep: ReadyStep, all: readonly RoundCandidate[]): AdviceRequest | null {
    const { step, queue } = readyStep;
    const { isGang } = step.specification;
    const pending = startableTasks(step);
    if (pending.length === 0) return null;
    const withOneMore = addResources(table.usedByTeam(step.job.team), step.specification.resources);
    if (!fitsTeamLimit(step, withOneMore)) {
      countBlockedTasks(readyStep, 'limit', pending.length);
      return null;
    }
    const candidates = selectCandidates(step, queue, all);
    const candidatesWithTicket = queue.advice
      ? candidates.filter(
          ({ state }) => adviceCache.ticketFor(step.stepId, incarnationOf(state)) !== null,
        )
      : candidates;
    const { placements } = planPlacements(step, pending, candidatesWithTicket);
    const isComplete = placements.length === pending.length;
    const mayStart = placements.length > 0 && (!isGang || isComplete);
    if (mayStart) startPlacements(readyStep, pending, placements);
    if (isComplete) return null;
    const unplaced = mayStart ? pending.filter(({ phase }) => phase === 'pending') : pending;
    if (!mayStart) releasePlannedRoom(step, placements);
    const { placements: reserved, blockedBy } = planPlacements(step, unplaced, candidates);
    // Room that is kept for a gang grows until all its tasks fit.
    const needsAdvice = isGang ? reserved.length === unplaced.length : reserved.length > 0;
    const request = needsAdvice ? createAdviceRequest(step, queue, candidates) : null;
    countBlockedTasks(
      readyStep,
      reserved.length === unplaced.length ? 'advice' : blockedBy,
      unplaced.length,
    );
    return request;
  }

  function collectReadySteps(): ReadyStep[] {
    const total = sumCapacity(context);
    const readySteps = [...transitions.releasedSteps].flatMap((step) => {
      const queue = context.queue(step.job.queue);
      if (!queue || step.job.phase !== 'open') return [];
      return [{ step, queue, order: computeStepOrder(context, step, queue, total) }];
    });
    return orderSteps(readySteps);
  }

  function runRound(): void {
    cancelRound = null;
    if (!context.isOwnerLeaseValid() || !context.configuration()) return;
    const candidates = collectCandidates(context, transitions);
    const requests: AdviceRequest[] = [];
    blockedTasks = new Map();
    collectReadySteps().forEach((readyStep) => {
      const request = placeStep(readyStep, candidates);
      if (request) requests.push(request);
      if (!readyStep.step.tasks.some(({ phase }) => phase === 'pending')) {
        transitions.releasedSteps.delete(readyStep.step);
      }
    });
    adviceCache.setRequests([
      ...requests,
      ...upcomingSteps.flatMap((step) => createPrefetchRequest(step, candidates)),
    ]);
  }

  /** Long rounds come less often, so that other work of the process gets its turn. */
  function runTimedRound(): void {
    const startedAt = clock.monotonicMilliseconds();
    runRound();
    const took = clock.monotonicMilliseconds() - startedAt;
    roundDelayMilliseconds = Math.max(ROUND_DELAY_MILLISECONDS, took / MAXIMUM_ROUND_TIME_SHARE);
  }

  function createPrefetchRequest(
    step: StepRecord,
    candidates: readonly RoundCandidate[],
  ): AdviceRequest[] {
    const queue = context.queue(step.job.queue);
    const isWanted = queue && !step.isReleased && step.job.phase === 'open';
    if (!isWanted || adviceCache.hasTickets(step.stepId)) return [];
    const request = createAdviceRequest(step, queue, selectCandidates(step, queue, candidates));
    return request ? [request] : [];
  }

  return {
    requestRound() {
      if (cancelRound) return;
      cancelRound = clock.setTimer(runTimedRound, roundDelayMilliseconds);
    },
    prefetchAdvice() {
      upcomingSteps = findUpcomingSteps(context);
    },
    logBacklog() {
      if (blockedTasks.size === 0) return;
      const used = [...table.all()].reduce((sum, { used: { processors } }) => sum + processors, 0);
      log.info('work waits', {
        tasks: Object.fromEntries(blockedTasks),
        steps: transitions.releasedSteps.size,
        processorsUsed: Math.round(used),
        processors: Math.round(sumCapacity(context).processors),
        adviceLinesBusy: adviceCache.busyChannels(),
      });
    },
    close() {
      cancelRound?.();
      cancelRound = null;
    },
  };
}
