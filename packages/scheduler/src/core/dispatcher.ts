import {
  chooseEndpoint,
  compareWork,
  computeDominantShare,
  addResources,
  NO_RESOURCES,
} from '@chicorybend/decisions';
import type { EndpointCandidate, OrderedWork } from '@chicorybend/decisions';
import { RESOURCE_DIMENSIONS } from '@chicorybend/common';
import type { CancelTimer, Resources } from '@chicorybend/common';

import type { JobQueueSettings, TeamQuota } from '../types/configuration.js';
import type { JobRecord, StepRecord, TaskRecord } from '../types/jobRecord.js';
import type { TermContext } from '../types/termContext.js';
import type { AdviceDesk } from './adviceDesk.js';
import type { EndpointSession } from './endpointSession.js';
import { chargedResources } from './endpointTable.js';
import type { EndpointState } from './endpointTable.js';
import { hasRun } from './jobRecords.js';
import type { TaskTransitions } from './taskTransitions.js';

/** Placements that become possible within this time are decided together, in milliseconds. */
const GATHER_MILLISECONDS = 5;

/** What the dispatcher needs. */
export interface DispatcherOptions {
  readonly context: TermContext;
  readonly transitions: TaskTransitions;
  readonly desk: AdviceDesk;
  readonly session: (endpointId: string) => EndpointSession | undefined;
}

/** Starts pending tasks where they fit. */
export interface Dispatcher {
  /** Asks for a round soon. */
  request(): void;
  /** Asks for the advice that a step is going to need. */
  prepare(step: StepRecord): void;
  close(): void;
}

interface Candidate extends EndpointCandidate {
  readonly state: EndpointState;
  used: Resources;
  tasksOfStep: number;
}

interface Placement {
  readonly task: TaskRecord;
  readonly state: EndpointState;
}

/** @returns what remains on the longest chain of an occurrence from a step on, in milliseconds */
export function estimateChain(job: JobRecord, fromStep: number): number {
  const { steps } = job.specification;
  const lengths = new Array<number>(steps.length).fill(0);
  for (let index = steps.length - 1; index >= 0; index -= 1) {
    const later = steps.flatMap(({ after }, position) =>
      after.includes(index) ? [lengths[position]!] : [],
    );
    lengths[index] = steps[index]!.estimatedMilliseconds + Math.max(0, ...later);
  }
  return lengths[fromStep] ?? 0;
}

/**
 * Creates the dispatcher of a term.
 *
 * @param options collaborators
 * @returns dispatcher
 */
export function createDispatcher(options: DispatcherOptions): Dispatcher {
  const { context, transitions, desk } = options;
  const { clock, log, table } = context;
  let cancelRound: CancelTimer | null = null;

  function queueOf(step: StepRecord): JobQueueSettings | undefined {
    return context.configuration()?.queues.find(({ name }) => name === step.job.queue);
  }

  function teamOf(step: StepRecord): TeamQuota | undefined {
    return context.configuration()?.teams.find(({ name }) => name === step.job.team);
  }

  function totalCapacity(): Resources {
    let total = NO_RESOURCES;
    for (const { entry, isListed } of table.all()) {
      if (isListed) total = addResources(total, entry.capacity);
    }
    return total;
  }

  function describeWork(step: StepRecord, queue: JobQueueSettings, total: Resources): OrderedWork {
    const { job } = step;
    const chain = estimateChain(job, 0);
    const age = clock.wallMilliseconds() - job.acceptedAt;
    const acceptedAt = clock.monotonicMilliseconds() - age;
    const share = computeDominantShare(table.usedByTeam(job.team), total);
    return {
      priority: queue.priority,
      objectiveAt: acceptedAt + queue.stretch * chain + queue.targetCompletionMilliseconds,
      remainingMilliseconds: estimateChain(job, step.index),
      weightedShare: share / Math.max(teamOf(step)?.weight ?? 1, 1e-9),
    };
  }

  function isUsable(state: EndpointState, step: StepRecord, queue: JobQueueSettings): boolean {
    const { entry } = state;
    const { requiredHardware } = step.specification;
    return (
      state.isListed &&
      state.isSealed &&
      !entry.isDraining &&
      entry.service === queue.service &&
      entry.bornAt === state.bornAt &&
      state.clockOffset !== null &&
      state.silentCalls === 0 &&
      state.avoidUntil <= clock.monotonicMilliseconds() &&
      (requiredHardware === '' || entry.hardware === requiredHardware) &&
      !transitions.isQuarantined(entry.endpointId)
    );
  }

  function describeCandidate(state: EndpointState, step: StepRecord): Candidate {
    let tasksOfStep = 0;
    let fillingTasks = 0;
    let servingTasks = 0;
    state.runs.forEach((task) => {
      if (task.step === step) tasksOfStep += 1;
      if (task.step.specification.isFilling) fillingTasks += 1;
      else if (task.step.specification.targetMilliseconds > 0) servingTasks += 1;
    });
    return {
      state,
      endpointId: state.entry.endpointId,
      rack: state.entry.rack,
      capacity: state.entry.capacity,
      used: state.used,
      tasksOfStep,
      fillingTasks,
      servingTasks,
      slowness: 1,
    };
  }

  function collectCandidates(step: StepRecord, queue: JobQueueSettings): Candidate[] {
    return [...table.all()]
      .filter((state) => isUsable(state, step, queue))
      .map((state) => describeCandidate(state, step));
  }

  function asked({ entry, bornAt }: EndpointState) {
    return { endpointId: entry.endpointId, bornAt };
  }

  /** Asks about endpoints with room: those known to be good, or else those that are not known. */
  function askAdvice(step: StepRecord, queue: JobQueueSettings, candidates: readonly Candidate[]) {
    if (!queue.advice) return;
    const withRoom = candidates.filter((candidate) =>
      chooseEndpoint([candidate], requestOf(step, [])),
    );
    const unknown = withRoom.filter(
      ({ state }) => desk.verdictOf(step.stepId, asked(state)) === null,
    );
    const good = withRoom.filter(
      ({ state }) =>
        desk.verdictOf(step.stepId, asked(state)) === true &&
        desk.ticketFor(step.stepId, asked(state)) === null,
    );
    desk.ask(
      step.stepId,
      [...good, ...unknown].map(({ state }) => asked(state)),
      queue.advice,
      queue.priority,
    );
  }

  function requestOf(step: StepRecord, racksInUse: readonly string[]) {
    const { specification } = step;
    return {
      resources: chargedResources(specification),
      preferredRacks:
        specification.preferredRack === '' ? racksInUse : [specification.preferredRack],
      maximumPerEndpoint: specification.maximumPerEndpoint,
      isFilling: specification.isFilling,
      isServing: specification.targetMilliseconds > 0,
    };
  }

  function fitsLimit(step: StepRecord, used: Resources): boolean {
    const limit = teamOf(step)?.limit;
    if (!limit) return true;
    return RESOURCE_DIMENSIONS.every(
      (dimension) => limit[dimension] === 0 || used[dimension] <= limit[dimension],
    );
  }

  /** Chooses endpoints for as many tasks as fit, without charging them. */
  function plan(
    step: StepRecord,
    tasks: readonly TaskRecord[],
    candidates: readonly Candidate[],
  ): Placement[] {
    const placements: Placement[] = [];
    const racks: string[] = [];
    let used = table.usedByTeam(step.job.team);
    for (const task of tasks) {
      used = addResources(used, step.specification.resources);
      if (!fitsLimit(step, used)) break;
      const request = requestOf(step, step.specification.prefersOneRack ? racks : []);
      const chosen = chooseEndpoint(candidates, request);
      if (!chosen) break;
      chosen.used = addResources(chosen.used, request.resources);
      chosen.tasksOfStep += 1;
      if (!racks.includes(chosen.rack)) racks.push(chosen.rack);
      placements.push({ task, state: chosen.state });
    }
    return placements;
  }

  function commitPlacement({ task, state }: Placement, run: number): void {
    task.run = run;
    task.phase = 'placed';
    task.endpointId = state.entry.endpointId;
    task.endpointBornAt = state.bornAt;
    task.settledAt = Infinity;
    table.charge(state, task);
    transitions.noteStart(state.entry.endpointId);
    const { job } = task.step;
    if (!job.hasStarted) {
      job.hasStarted = true;
      context.metrics.record('first_start_milliseconds', clock.wallMilliseconds() - job.acceptedAt);
    }
  }

  function stopFillingBeside(placements: readonly Placement[]): void {
    placements.forEach(({ task, state }) => {
      if (task.step.specification.targetMilliseconds <= 0) return;
      [...state.runs.values()]
        .filter((other) => other.step.specification.isFilling && other.phase === 'running')
        .forEach((other) => {
          void options.session(state.entry.endpointId)?.stop(other);
        });
    });
  }

  function withdraw(task: TaskRecord): void {
    transitions.endRun(task, 'stopped', task.checkpoint);
    void transitions.save(task.step.job);
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
      .map(({ task, state }) => ({
        task,
        session: options.session(state.entry.endpointId),
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
      else withdraw(start.task);
    });
  }

  function place(step: StepRecord, queue: JobQueueSettings): number {
    const now = clock.monotonicMilliseconds();
    const { isGang } = step.specification;
    const pending = step.tasks.filter(
      ({ phase, notBefore }) => phase === 'pending' && notBefore <= now,
    );
    if (pending.length === 0) return 0;
    if (isGang && (pending.length < step.specification.count || step.tasks.some(hasRun))) return 0;
    const candidates = collectCandidates(step, queue);
    const ticketed = queue.advice
      ? candidates.filter(({ state }) => desk.ticketFor(step.stepId, asked(state)) !== null)
      : candidates;
    const placements = plan(step, pending, ticketed);
    if (isGang && placements.length < pending.length) placements.length = 0;
    if (placements.length < pending.length) askAdvice(step, queue, collectCandidates(step, queue));
    if (placements.length === 0) return 0;
    const gangRun = Math.max(...pending.map(({ run }) => run)) + 1;
    const checkpoint = pending.find((task) => task.checkpoint !== '')?.checkpoint ?? '';
    stopFillingBeside(placements);
    placements.forEach((placement) => {
      if (isGang) placement.task.checkpoint = checkpoint;
      commitPlacement(placement, isGang ? gangRun : placement.task.run + 1);
    });
    log.info('tasks placed', {
      step: step.stepId,
      tasks: placements.length,
      pending: pending.length,
      candidates: candidates.length,
    });
    void startAll(step, queue, placements);
    return placements.length;
  }

  function runRound(): void {
    cancelRound = null;
    if (!context.mayAct() || !context.configuration()) return;
    const total = totalCapacity();
    const work = [...transitions.releasedSteps].flatMap((step) => {
      const queue = queueOf(step);
      if (!queue || step.job.phase !== 'open') return [];
      return [{ step, queue, order: describeWork(step, queue, total) }];
    });
    work.sort((left, right) => compareWork(left.order, right.order));
    work.forEach(({ step, queue }) => {
      const started = place(step, queue);
      const isAllStarted = !step.tasks.some(({ phase }) => phase === 'pending');
      if (started > 0 && isAllStarted) transitions.releasedSteps.delete(step);
      if (started > 0 && isAllStarted) prepareLater(step);
    });
  }

  /** The next steps need their tickets when this one ends. */
  function prepareLater(step: StepRecord): void {
    const occurrence = step.job.occurrences.get(step.occurrence);
    occurrence?.steps
      .filter(({ specification }) => specification.after.includes(step.index))
      .forEach((later) => prepare(later));
  }

  function prepare(step: StepRecord): void {
    const queue = queueOf(step);
    if (!queue?.advice) return;
    askAdvice(step, queue, collectCandidates(step, queue));
  }

  return {
    request() {
      if (cancelRound) return;
      cancelRound = clock.setTimer(runRound, GATHER_MILLISECONDS);
    },
    prepare,
    close() {
      cancelRound?.();
      cancelRound = null;
    },
  };
}
