import {
  addResources,
  canHost,
  chooseEndpointsForAdvice,
  chooseGangRoom,
  countAdviceCalls,
  coversResources,
  createAdviceOrder,
  createEndpointChooser,
  createReservationWindows,
  createUnmetRequirements,
  isWithinLimit,
} from '@chicorybend/decisions';
import type {
  AdviceNeed,
  AdviceOrder,
  EndpointRequirements,
  GangRoom,
  OrderingKey,
  ReservationScope,
  TrialRequirements,
  WorkDigest,
} from '@chicorybend/decisions';
import type { CancelTimer, Resources } from '@chicorybend/common';

import type { JobQueueSettings } from '../types/configuration.js';
import type { JobRecord, StepRecord, TaskRecord } from '../types/jobRecord.js';
import type { TermContext } from '../types/termContext.js';
import type { AdviceCache, AdviceRequest } from './adviceCache.js';
import type { EndpointSession } from './endpointSession.js';
import { chargedResources } from './endpointTable.js';
import type { EndpointState } from './endpointTable.js';
import { assignRun, hasActiveRun, trialMillisecondsOf } from './jobRecords.js';
import { createIdleSteps } from './idleSteps.js';
import { createKeptEndpoints } from './keptEndpoints.js';
import { findUpcomingSteps } from './upcomingSteps.js';
import { collectCandidates } from './roundCandidates.js';
import type { RoundCandidate } from './roundCandidates.js';
import type { PastUseOrder } from './pastUseOrder.js';
import { createRoundStatistics } from './roundStatistics.js';
import type { RoundSummary } from './roundStatistics.js';
import type { TaskTransitions } from './taskTransitions.js';
import { computeStepOrder, sumCapacity } from './stepOrder.js';
import { createTrialSchedule, remainingTrialEndpoints } from './trialSchedule.js';
import { createUnsentStarts } from './unsentStarts.js';
import { createWaitingTasks } from './waitingTasks.js';
import type { BlockingReason } from './waitingTasks.js';
import { createWorkDigest } from './workDigest.js';

/** Minimum delay of a round after its request, so that one round handles several changes. */
const ROUND_DELAY_MILLISECONDS = 5;

/** Maximum share of the time of the process that rounds take. */
const MAXIMUM_ROUND_TIME_SHARE = 0.25;
/** Minimum delay of a round while the owner refuses new jobs. */
const SHED_ROUND_DELAY_MILLISECONDS = 25;

/**
 * Number of blocked steps of one queue after which a round considers only some of the others, so that its duration
 * hardly grows with the backlog.
 */
const MAXIMUM_BLOCKED_STEPS = 40;
/** The same while the owner refuses new jobs. Rounds do not get rarer, because urgent work waits for the next one. */
const SHED_BLOCKED_STEPS = 10;
/** Each step beyond that is considered once in this many rounds; it may fit where those before it do not. */
const BACKLOG_ROUNDS = 8;

/** Minimum age of a digest of the backlog before a round takes another one. */
const DIGEST_INTERVAL_MILLISECONDS = 250;

/** Maximum number of calls for advice about one step at the same time. */
const MAXIMUM_CALLS_PER_STEP = 3;
/** The same while the owner refuses new jobs. */
const SHED_CALLS_PER_STEP = 1;

export interface DispatcherOptions {
  readonly context: TermContext;
  readonly transitions: TaskTransitions;
  readonly adviceCache: AdviceCache;
  readonly pastUse: PastUseOrder;
  readonly sessionOf: (endpointId: string) => EndpointSession | undefined;
  /** Stops the filling tasks on an endpoint. */
  readonly stopFillingTasks: (state: EndpointState) => void;
}

/** Room on the endpoints at one time, for tasks that would start there beside their present runs. */
export interface MoveRoom {
  /** Takes the room for a task. @returns whether there was any, also within the limit of its team */
  take(task: TaskRecord): boolean;
}

/** Places pending tasks on endpoints in rounds, and starts them. */
export interface Dispatcher {
  /** Schedules a round unless one is scheduled already. */
  requestRound(): void;
  /** Selects the steps that are released soon; the next round requests advice for them. */
  prefetchAdvice(): void;
  /** @returns room on the endpoints that accept runs now */
  findMoveRoom(): MoveRoom;
  /** Logs the number of waiting tasks by reason, and the capacity in use, if any task waits. */
  logBacklog(): void;
  /** Logs steps that have waited for seconds while nothing of their job runs. */
  logIdleSteps(): void;
  /** @returns work that waited after a recent round; null before the first one */
  workDigest(): WorkDigest | null;
  /** @returns rounds since the last call of this function */
  takeRoundSummary(): RoundSummary;
  close(): void;
}

/** A released step with the keys that order it within a round. */
interface ReadyStep {
  readonly step: StepRecord;
  readonly queue: JobQueueSettings;
  readonly order: OrderingKey;
}

/** The endpoints that runs may be placed on in one round. */
interface RoundEndpoints {
  readonly all: readonly RoundCandidate[];
  readonly byId: ReadonlyMap<string, RoundCandidate>;
  readonly adviceOrder: AdviceOrder<RoundCandidate>;
}

interface Placement {
  readonly task: TaskRecord;
  readonly candidate: RoundCandidate;
}

interface PlacementOutcome {
  /** Null if no task remains. */
  readonly reason: BlockingReason | null;
  readonly request: AdviceRequest | null;
}

export function createDispatcher(options: DispatcherOptions): Dispatcher {
  const { context, transitions, adviceCache, pastUse } = options;
  const { clock, log, metrics, outstandingStarts, table, workMeter } = context;
  const keptEndpoints = createKeptEndpoints(context, transitions);
  const trialSchedule = createTrialSchedule(context);
  const unsentStarts = createUnsentStarts(context);
  const reservationWindows = createReservationWindows();
  /** Requirements that no endpoint of the present round meets. */
  const unmetRequirements = createUnmetRequirements();
  const roundStatistics = createRoundStatistics(metrics);
  /** Waiting tasks of the last round. */
  const waiting = createWaitingTasks();
  const idleSteps = createIdleSteps(context, adviceCache);
  let rounds = 0;
  let digest: WorkDigest | null = null;
  /** Number of endpoints that may still get a trial in the current round. */
  let trialEndpointsLeft = 0;
  let cancelRound: CancelTimer | null = null;
  let roundDelayMilliseconds = ROUND_DELAY_MILLISECONDS;
  /** Steps that are released soon. */
  let upcomingSteps: StepRecord[] = [];
  let roundRequestedAt = 0;

  /** Fewer calls for advice and smaller rounds place less work, so that they come last. */
  function isShedding(): boolean {
    return context.lateness.shedding() === 'new-jobs';
  }

  /** Sets the number of tasks of a step on each endpoint, where that number is limited. */
  function countStepTasks(step: StepRecord, candidates: readonly RoundCandidate[]): void {
    if (step.specification.maximumPerEndpoint === 0) return;
    const counts = new Map<string | null, number>();
    step.tasks.forEach((task) => {
      if (!hasActiveRun(task)) return;
      counts.set(task.endpointId, (counts.get(task.endpointId) ?? 0) + 1);
    });
    candidates.forEach((candidate) => {
      candidate.stepTaskCount = counts.get(candidate.endpointId) ?? 0;
    });
  }

  /** @returns whether an endpoint matches the step and is not known to be ineligible */
  function isMatching(
    step: StepRecord,
    queue: JobQueueSettings,
    candidate: Pick<RoundCandidate, 'state' | 'endpointId' | 'bornAt'>,
  ): boolean {
    const { requiredLabel } = step.specification;
    const { entry } = candidate.state;
    return (
      entry.service === queue.service &&
      (requiredLabel === '' || entry.labels.includes(requiredLabel)) &&
      (!queue.advice || adviceCache.isEligible(step.stepId, candidate) !== false)
    );
  }

  function hasTicket(step: StepRecord, candidate: RoundCandidate): boolean {
    return adviceCache.ticketFor(step.stepId, candidate) !== null;
  }

  function findCandidates(
    endpointIds: Iterable<string>,
    { byId }: RoundEndpoints,
  ): RoundCandidate[] {
    return [...endpointIds].flatMap((endpointId) => byId.get(endpointId) ?? []);
  }

  /** @returns endpoints that the advice about a step allows; all endpoints if its queue needs no advice */
  function findAdvisedCandidates(
    step: StepRecord,
    queue: JobQueueSettings,
    endpoints: RoundEndpoints,
  ): readonly RoundCandidate[] {
    if (!queue.advice) return endpoints.all;
    return findCandidates(adviceCache.ticketedEndpoints(step.stepId), endpoints).filter(
      (candidate) => hasTicket(step, candidate),
    );
  }

  /**
   * The duration of a call depends little on the number of endpoints, so the call also covers endpoints that
   * have no room now but may have some while the tickets are valid.
   *
   * @returns request for endpoints without a ticket; null if the queue needs no advice
   */
  function createAdviceRequest(
    step: StepRecord,
    queue: JobQueueSettings,
    requirements: EndpointRequirements,
    waitingTasks: number,
    endpoints: RoundEndpoints,
  ): AdviceRequest | null {
    const { advice } = queue;
    if (!advice) return null;
    const need: AdviceNeed = {
      stepId: step.stepId,
      waitingTasks,
      eligibleProbability: adviceCache.eligibleProbability(queue.name),
    };
    return {
      stepId: step.stepId,
      queue: queue.name,
      settings: advice,
      maximumCalls: Math.min(
        isShedding() ? SHED_CALLS_PER_STEP : MAXIMUM_CALLS_PER_STEP,
        countAdviceCalls(need, advice),
      ),
      chooseEndpoints() {
        countStepTasks(step, endpoints.all);
        const asked = adviceCache.askedEndpoints(step.stepId);
        // Room that is only reserved in this round, also for this step, counts as free.
        const hasRoom = (candidate: RoundCandidate) =>
          canHost(candidate, requirements, candidate.state.used);
        const candidates = {
          order: endpoints.adviceOrder,
          knownEligible: findCandidates(adviceCache.eligibleEndpoints(step.stepId), endpoints),
          hasRoom,
          isOpen: (candidate: RoundCandidate) =>
            coversResources(candidate.capacity, requirements.resources) &&
            !asked.has(candidate.endpointId) &&
            isMatching(step, queue, candidate) &&
            !hasTicket(step, candidate),
        };
        const chosen = chooseEndpointsForAdvice(candidates, requirements, advice, need);
        // There may be room by the time that an upcoming step is released.
        const isRoomIrrelevant = chosen.length === 0 && !step.isReleased;
        return isRoomIrrelevant
          ? chooseEndpointsForAdvice(
              { ...candidates, hasRoom: () => true },
              requirements,
              advice,
              need,
            )
          : chosen;
      },
    };
  }

  function createEndpointRequirements(
    step: StepRecord,
    trial: TrialRequirements | null = null,
  ): EndpointRequirements {
    const { specification } = step;
    return {
      resources: chargedResources(specification),
      preferredRacks: specification.preferredRack === '' ? [] : [specification.preferredRack],
      keepsToRacks: specification.prefersOneRack && specification.preferredRack === '',
      maximumPerEndpoint: specification.maximumPerEndpoint,
      isFilling: specification.isFilling,
      isServing: specification.targetMilliseconds > 0,
      isLongRunning: specification.isLongRunning,
      isUrgent: context.settings.isUrgent(step.job),
      trial,
    };
  }

  function fitsTeamLimit(job: JobRecord, used: Resources): boolean {
    const limit = context.settings.teamLimitOf(job);
    return limit === null || isWithinLimit(limit, used);
  }

  function avoidedEndpoint({ avoidedEndpointId, avoidedUntil }: TaskRecord): string | null {
    return avoidedUntil > clock.monotonicMilliseconds() ? avoidedEndpointId : null;
  }

  /** Long-running tasks do not wait for a gang, because their users notice each second without them. */
  function isOpenTo(
    { isLongRunning }: EndpointRequirements,
    { isReservedForGang }: RoundCandidate,
  ): boolean {
    return isLongRunning || !isReservedForGang;
  }

  /** @returns endpoints that can host a task and match the step; none at once if that follows for all endpoints */
  function findHosts(
    step: StepRecord,
    queue: JobQueueSettings,
    requirements: EndpointRequirements,
    candidates: readonly RoundCandidate[],
  ): RoundCandidate[] {
    return unmetRequirements.isImplied(requirements)
      ? []
      : candidates.filter(
          (candidate) => canHost(candidate, requirements) && isMatching(step, queue, candidate),
        );
  }

  /** @returns whether any endpoint can host a task, as far as the step and its queue do not matter */
  function hasHost(requirements: EndpointRequirements, { all }: RoundEndpoints): boolean {
    if (unmetRequirements.isImplied(requirements)) return false;
    if (all.some((candidate) => canHost(candidate, requirements))) return true;
    unmetRequirements.record(requirements);
    return false;
  }

  /** Chooses endpoints for as many tasks as fit, and reserves their capacity for the rest of this round. */
  function planPlacements(
    step: StepRecord,
    tasks: readonly TaskRecord[],
    candidates: readonly RoundCandidate[],
    requirements: EndpointRequirements,
  ): { placements: Placement[]; blockedBy: BlockingReason } {
    const open = candidates.filter((candidate) => isOpenTo(requirements, candidate));
    const chooser = createEndpointChooser(open, requirements);
    const placements: Placement[] = [];
    let used = table.usedByTeam(step.job.team);
    // Only one endpoint may have room for a bound task, so that it goes first.
    const isBound = (task: TaskRecord) => outstandingStarts.requiredEndpoint(task) !== null;
    for (const task of [...tasks.filter(isBound), ...tasks.filter((other) => !isBound(other))]) {
      used = addResources(used, step.specification.resources);
      if (!fitsTeamLimit(step.job, used)) return { placements, blockedBy: 'limit' };
      const requiredEndpointId = outstandingStarts.requiredEndpoint(task);
      const candidate = chooser.place(avoidedEndpoint(task), requiredEndpointId);
      if (candidate) placements.push({ task, candidate });
      else if (requiredEndpointId === null) break;
      else used = addResources(used, step.specification.resources, -1);
    }
    return { placements, blockedBy: 'room' };
  }

  function countBlockedTasks(
    { step, queue, order }: ReadyStep,
    blockedBy: BlockingReason,
    tasks: number,
  ): void {
    waiting.add(queue.name, blockedBy, order.punctuality, tasks);
    pastUse.recordBlocked(step, blockedBy);
  }

  function releasePlannedRoom(step: StepRecord, placements: readonly Placement[]): void {
    if (placements.length > 0) unmetRequirements.clear();
    placements.forEach(({ candidate }) => {
      candidate.used = addResources(candidate.used, chargedResources(step.specification), -1);
      candidate.stepTaskCount -= 1;
      candidate.trialStepId = candidate.initialTrialStepId;
    });
  }

  function recordPlacement(
    { task, candidate: { state } }: Placement,
    run: number,
    isTrial: boolean,
  ): void {
    assignRun(task, run, state, clock.monotonicMilliseconds());
    task.trialMilliseconds = isTrial ? trialMillisecondsOf(task) : 0;
    table.charge(state, task);
    unsentStarts.add(task);
    transitions.recordStart(state.entry.endpointId);
  }

  /** Sends the starts once the placements are durable; drops runs whose start can no longer be sent. */
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
        ticket: adviceCache.ticketFor(step.stepId, {
          endpointId: state.entry.endpointId,
          bornAt: state.bornAt,
        }),
      }));
    const fitting = unsentStarts.take(starts.map(({ task }) => task));
    const ready = starts.filter(
      ({ task, session, ticket }) =>
        step.job.phase === 'open' &&
        fitting.has(task) &&
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
      (task) =>
        task.phase === 'pending' && task.notBefore <= now && !outstandingStarts.isHeld(task),
    );
    if (!step.specification.isGang) return pending;
    const isGangPending =
      pending.length === step.specification.count && !step.tasks.some(hasActiveRun);
    return isGangPending ? pending : [];
  }

  function startPlacements(
    { step, queue, order }: ReadyStep,
    pending: readonly TaskRecord[],
    placements: readonly Placement[],
    isTrial: boolean,
  ): void {
    const { isGang } = step.specification;
    reservationWindows.forget(step.stepId);
    pastUse.recordPlacement(order);
    const gangRun = Math.max(...pending.map(({ run }) => run)) + 1;
    const checkpoint = pending.find((task) => task.checkpoint !== '')?.checkpoint ?? '';
    if (step.specification.targetMilliseconds > 0) {
      placements.forEach(({ candidate }) => options.stopFillingTasks(candidate.state));
    }
    placements.forEach((placement) => {
      if (isGang) placement.task.checkpoint = checkpoint;
      placement.candidate.isQuiet = false;
      recordPlacement(placement, isGang ? gangRun : placement.task.run + 1, isTrial);
    });
    if (isTrial) {
      const opened = placements.filter(({ candidate }) => candidate.initialTrialStepId === null);
      trialEndpointsLeft -= new Set(opened.map(({ candidate }) => candidate)).size;
      context.metrics.count('trials_started', placements.length);
    }
    log.info('tasks placed', {
      step: step.stepId,
      tasks: placements.length,
      pending: pending.length,
      ...(isTrial ? { isTrial } : {}),
    });
    void startWhenDurable(step, queue, placements);
  }

  /**
   * Starts the tasks that fit on endpoints with tickets.
   *
   * @param pending tasks of the step to start
   * @param trial how they are kept apart from others; null for tasks that are not on trial
   * @returns why tasks remain, if any do, and the request for advice about them
   */
  function placeTasks(
    readyStep: ReadyStep,
    pending: readonly TaskRecord[],
    trial: TrialRequirements | null,
    endpoints: RoundEndpoints,
  ): PlacementOutcome {
    const { step, queue } = readyStep;
    const { isGang } = step.specification;
    if (pending.length === 0) return { reason: null, request: null };
    const withOneMore = addResources(table.usedByTeam(step.job.team), step.specification.resources);
    if (!fitsTeamLimit(step.job, withOneMore)) {
      countBlockedTasks(readyStep, 'limit', pending.length);
      return { reason: 'limit', request: null };
    }
    const requirements = createEndpointRequirements(step, trial);
    countStepTasks(step, endpoints.all);
    const { placements, blockedBy } = planPlacements(
      step,
      pending,
      queue.advice || hasHost(requirements, endpoints)
        ? findHosts(step, queue, requirements, findAdvisedCandidates(step, queue, endpoints))
        : [],
      requirements,
    );
    const isComplete = placements.length === pending.length;
    const mayStart = placements.length > 0 && (!isGang || isComplete);
    if (mayStart) startPlacements(readyStep, pending, placements, trial !== null);
    if (isComplete) return { reason: null, request: null };
    const unplaced = mayStart ? pending.filter(({ phase }) => phase === 'pending') : pending;
    if (!mayStart) releasePlannedRoom(step, placements);
    const reason =
      blockedBy === 'limit' ? 'limit' : planUnplaced(readyStep, unplaced, endpoints, requirements);
    const reservation = trial && { ...trial, isReservation: true };
    if (reservation && reason !== 'limit') {
      reserveForTrial(readyStep, unplaced, reservation, endpoints.all);
    }
    const waitsForTrial = trial !== null && reason === 'room';
    countBlockedTasks(readyStep, waitsForTrial ? 'trial' : reason, unplaced.length);
    const request =
      reason === 'advice'
        ? createAdviceRequest(
            step,
            queue,
            createEndpointRequirements(step, reservation),
            unplaced.length,
            endpoints,
          )
        : null;
    return { reason, request };
  }

  /** Reserves endpoints with room for tasks on trial, so that no others begin there. */
  function reserveForTrial(
    { step, queue }: ReadyStep,
    tasks: readonly TaskRecord[],
    reservation: TrialRequirements,
    all: readonly RoundCandidate[],
  ): void {
    if (trialSchedule.hasReservation(step.stepId)) return;
    const { placements } = planPlacements(
      step,
      tasks,
      all.filter((candidate) => isMatching(step, queue, candidate)),
      createEndpointRequirements(step, reservation),
    );
    const isGangIncomplete = step.specification.isGang && placements.length < tasks.length;
    if (placements.length === 0 || isGangIncomplete) {
      releasePlannedRoom(step, placements);
      return;
    }
    const endpointIds = placements.map(({ candidate: { endpointId } }) => endpointId);
    trialSchedule.reserve(step.stepId, endpointIds);
  }

  /** Places the tasks of a step, those on trial first. */
  function placeStep(readyStep: ReadyStep, endpoints: RoundEndpoints): PlacementOutcome {
    const { step } = readyStep;
    const { isGang } = step.specification;
    const pending = startableTasks(step);
    const { onTrial, newTrialEndpoints, ordinary } = trialSchedule.divide(step, pending);
    const trial = {
      stepId: step.stepId,
      maximumNewEndpoints: isGang
        ? newTrialEndpoints
        : Math.min(newTrialEndpoints, Math.max(0, trialEndpointsLeft)),
      isReservation: false,
    };
    const first = placeTasks(readyStep, onTrial, trial, endpoints);
    const second = placeTasks(readyStep, ordinary, null, endpoints);
    return {
      reason: first.reason ?? second.reason,
      request: first.request ?? second.request,
    };
  }

  /** @returns whether an endpoint accepts runs, as far as its present load does not matter */
  function isAccepting({ entry, isListed, unansweredCalls }: EndpointState): boolean {
    return (
      isListed &&
      !entry.isDraining &&
      context.evacuations.isInService(entry.dataCentre) &&
      unansweredCalls === 0 &&
      !transitions.isQuarantined(entry.endpointId)
    );
  }

  /** @returns whether the team of a gang may run all its tasks once its work that ends by itself has ended */
  function mayFitTeamLimitLater({ job, specification }: StepRecord): boolean {
    const lasting = table.usedForLongRunningByTeam(job.team);
    return fitsTeamLimit(job, addResources(lasting, specification.resources, specification.count));
  }

  /** @returns endpoints that a gang waits for; none if it does not fit beside the long-running work */
  function findGangRoom(
    step: StepRecord,
    queue: JobQueueSettings,
    requirements: EndpointRequirements,
  ): readonly GangRoom[] {
    if (!mayFitTeamLimitLater(step)) return [];
    const rooms = [...table.all()].flatMap((state) => {
      const { entry, bornAt, used, usedForLongRunning } = state;
      const { endpointId, capacity } = entry;
      if (!isAccepting(state) || !isMatching(step, queue, { state, endpointId, bornAt })) return [];
      const free = addResources(capacity, used, -1);
      return [{ endpointId, free, freeLater: addResources(capacity, usedForLongRunning, -1) }];
    });
    return chooseGangRoom(rooms, requirements, step.specification.count);
  }

  function reservationScopeOf({ stepId }: StepRecord): ReservationScope {
    return reservationWindows.scopeOf(stepId, clock.monotonicMilliseconds());
  }

  /** The room of a gang grows from round to round until all its tasks fit, or until others get their turn. */
  function reserveForGang(
    { step, queue }: ReadyStep,
    unplaced: readonly TaskRecord[],
    endpoints: RoundEndpoints,
    requirements: EndpointRequirements,
  ): BlockingReason {
    const room = findGangRoom(step, queue, requirements);
    const scope = room.length === 0 ? 'nothing' : reservationScopeOf(step);
    if (scope === 'nothing') return 'room';
    const { placements, blockedBy } = planPlacements(
      step,
      unplaced,
      findHosts(step, queue, requirements, endpoints.all),
      requirements,
    );
    if (queue.advice && placements.length === unplaced.length) return 'advice';
    if (scope === 'tasks' && blockedBy === 'room') return 'room';
    releasePlannedRoom(step, placements);
    if (blockedBy === 'limit') return 'limit';
    const endpointIds = room.map(({ endpointId }) => endpointId);
    findCandidates(endpointIds, endpoints).forEach((candidate) => {
      candidate.isReservedForGang = true;
    });
    return 'room';
  }

  /**
   * Other endpoints need no reservation, because the tickets that the calls in flight bring are not for them.
   *
   * @returns whether any room is reserved
   */
  function reserveAskedEndpoints(
    { step }: ReadyStep,
    unplaced: readonly TaskRecord[],
    endpoints: RoundEndpoints,
    requirements: EndpointRequirements,
  ): boolean {
    const asked = findCandidates(adviceCache.askedEndpoints(step.stepId), endpoints);
    return planPlacements(step, unplaced, asked, requirements).placements.length > 0;
  }

  /**
   * Reserves room for this round for the tasks of a gang, which needs it all at once, and of an urgent step, so that
   * steps that come later do not take it while the call for advice is in flight. Other steps reserve none, because
   * most of the room would stay idle.
   *
   * @returns what the tasks wait for
   */
  function planUnplaced(
    readyStep: ReadyStep,
    unplaced: readonly TaskRecord[],
    endpoints: RoundEndpoints,
    requirements: EndpointRequirements,
  ): BlockingReason {
    const { step, queue } = readyStep;
    if (step.specification.isGang) {
      return reserveForGang(readyStep, unplaced, endpoints, requirements);
    }
    if (!queue.advice) return 'room';
    const isRoomReserved =
      requirements.isUrgent &&
      reservationScopeOf(step) !== 'nothing' &&
      reserveAskedEndpoints(readyStep, unplaced, endpoints, requirements);
    const hasRoom =
      isRoomReserved ||
      (hasHost(requirements, endpoints) &&
        endpoints.all.some(
          (candidate) =>
            isOpenTo(requirements, candidate) &&
            canHost(candidate, requirements) &&
            isMatching(step, queue, candidate),
        ));
    return hasRoom ? 'advice' : 'room';
  }

  function collectReadySteps(): readonly ReadyStep[] {
    const total = sumCapacity(context);
    const readySteps = [...transitions.releasedSteps].flatMap((step) => {
      const queue = context.settings.queueOf(step.job);
      if (!queue || step.job.phase !== 'open') return [];
      return [{ step, queue, order: computeStepOrder(context, step, queue, total) }];
    });
    return pastUse.order(readySteps);
  }

  function runRound(): void {
    cancelRound = null;
    rounds += 1;
    if (!context.isOwnerLeaseValid()) return;
    const candidates = collectCandidates(
      context,
      transitions,
      keptEndpoints.current(),
      trialSchedule.reservedSteps(),
    );
    const busy = candidates.filter(({ trialStepId }) => trialStepId !== null).length;
    trialEndpointsLeft = remainingTrialEndpoints(candidates.length, busy);
    const byId = new Map(candidates.map((candidate) => [candidate.endpointId, candidate]));
    const endpoints: RoundEndpoints = {
      all: candidates,
      byId,
      adviceOrder: createAdviceOrder(
        table.shuffled().flatMap(({ entry }) => byId.get(entry.endpointId) ?? []),
      ),
    };
    const requests: AdviceRequest[] = [];
    const blockedSteps = new Map<string, number>();
    waiting.clear();
    unmetRequirements.clear();
    const readySteps = collectReadySteps();
    const maximumBlockedSteps = isShedding() ? SHED_BLOCKED_STEPS : MAXIMUM_BLOCKED_STEPS;
    readySteps.forEach((readyStep, position) => {
      const { step, queue } = readyStep;
      const blocked = blockedSteps.get(queue.name) ?? 0;
      const hasTurn = blocked < maximumBlockedSteps || (position + rounds) % BACKLOG_ROUNDS === 0;
      if (!hasTurn) {
        countBlockedTasks(readyStep, 'turn', startableTasks(step).length);
        idleSteps.record(step, 'turn');
        return;
      }
      const { request, reason } = placeStep(readyStep, endpoints);
      if (request) requests.push(request);
      idleSteps.record(step, reason);
      if (reason === 'room' || reason === 'advice') blockedSteps.set(queue.name, blocked + 1);
      if (!step.tasks.some(({ phase }) => phase === 'pending')) {
        transitions.releasedSteps.delete(step);
      }
    });
    const isDigestDue =
      clock.monotonicMilliseconds() - (digest?.takenAt ?? -Infinity) >=
      DIGEST_INTERVAL_MILLISECONDS;
    if (isDigestDue) digest = createWorkDigest(context, readySteps);
    adviceCache.setRequests([
      ...requests,
      ...upcomingSteps.flatMap((step) => createPrefetchRequest(step, endpoints)),
    ]);
  }

  /** Runs a round, and delays the next one in proportion, so that the process has time for its other work. */
  function runTimedRound(): void {
    const startedAt = clock.monotonicMilliseconds();
    workMeter.measure('rounds', runRound);
    const took = clock.monotonicMilliseconds() - startedAt;
    roundStatistics.record(took, startedAt - roundRequestedAt);
    const minimumDelay = isShedding() ? SHED_ROUND_DELAY_MILLISECONDS : ROUND_DELAY_MILLISECONDS;
    roundDelayMilliseconds = Math.max(minimumDelay, took / MAXIMUM_ROUND_TIME_SHARE);
  }

  function createPrefetchRequest(step: StepRecord, endpoints: RoundEndpoints): AdviceRequest[] {
    const queue = context.settings.queueOf(step.job);
    const isWanted = queue && !step.isReleased && step.job.phase === 'open';
    if (!isWanted || adviceCache.hasTickets(step.stepId)) return [];
    const request = createAdviceRequest(
      step,
      queue,
      createEndpointRequirements(step),
      step.tasks.length,
      endpoints,
    );
    return request ? [request] : [];
  }

  function findMoveRoom(): MoveRoom {
    const reserved = trialSchedule.reservedSteps();
    const all = collectCandidates(context, transitions, keptEndpoints.current(), reserved);
    return {
      take(task) {
        const { step } = task;
        const queue = context.settings.queueOf(step.job);
        const used = addResources(table.usedByTeam(step.job.team), step.specification.resources);
        if (!queue || !fitsTeamLimit(step.job, used)) return false;
        countStepTasks(step, all);
        const requirements = createEndpointRequirements(step);
        const open = all.filter((candidate) => isMatching(step, queue, candidate));
        return createEndpointChooser(open, requirements).place(avoidedEndpoint(task)) !== null;
      },
    };
  }

  return {
    findMoveRoom,
    requestRound() {
      if (cancelRound) return;
      roundRequestedAt = clock.monotonicMilliseconds();
      cancelRound = clock.setTimer(runTimedRound, roundDelayMilliseconds);
    },
    prefetchAdvice() {
      upcomingSteps = findUpcomingSteps(context);
    },
    logBacklog() {
      if (waiting.isEmpty()) return;
      const used = [...table.all()].reduce((sum, { used: { processors } }) => sum + processors, 0);
      log.info('work waits', {
        ...waiting.describe(),
        steps: transitions.releasedSteps.size,
        processorsUsed: Math.round(used),
        processors: Math.round(sumCapacity(context).processors),
        keptForUrgent: keptEndpoints.current().size,
        adviceLinesBusy: adviceCache.busyChannels(),
        outOfService: context.evacuations.outOfService(),
      });
    },
    logIdleSteps: idleSteps.logLongest,
    workDigest: () => digest,
    takeRoundSummary: roundStatistics.takeSummary,
    close() {
      cancelRound?.();
      cancelRound = null;
    },
  };
}
