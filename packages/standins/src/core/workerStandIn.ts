import type { FastifyReply } from 'fastify';

import { createSystemClock, sleep } from '@chicorybend/common';
import type {
  Clock,
  Resources,
  Result,
  RunningTask,
  VmRecord,
  WorkerRefusal,
} from '@chicorybend/common';

import { startRestartableServer } from '../utils/restartableServer.js';
import type { ListenAddress } from '../utils/restartableServer.js';
import { createRunRecord } from './runRecord.js';
import type { RunRecord } from './runRecord.js';
import { createWorkerState } from './workerState.js';
import type { WorkerState, WorkerTaskFaults } from './workerState.js';

/** Faults of a worker stand-in; all may be changed while it runs. */
export interface WorkerFaults extends WorkerTaskFaults {
  /** Holds connections without answering; commands have no effect. Tasks run on under their leases. */
  isSilent: boolean;
  /** Time before each command is taken, in milliseconds. */
  delayMilliseconds: number;
  /** Fraction of commands that take effect and whose answer is lost, in [0, 1]. */
  lostAnswerFraction: number;
}

/** Identity, size and place of a worker stand-in. */
export interface WorkerStandInOptions extends ListenAddress {
  readonly workerId: string;
  readonly capacity: Resources;
  readonly record?: RunRecord;
  readonly dataCentre?: string;
  readonly rack?: string;
  readonly clock?: Clock;
  /** Source of random numbers in [0, 1). */
  readonly random?: () => number;
}

/** A running worker stand-in. */
export interface WorkerStandIn {
  readonly workerId: string;
  readonly address: string;
  /** The worker as it stands in the VM list. */
  readonly vm: VmRecord;
  readonly faults: WorkerFaults;
  readonly record: RunRecord;
  incarnation(): string;
  running(): readonly RunningTask[];
  /** Goes down; its tasks end at once. */
  crash(): Promise<void>;
  /** Comes up after a crash with a new incarnation and no tasks. */
  restart(): Promise<void>;
  /** Stands still; commands wait until it resumes. */
  pause(): void;
  resume(): void;
  close(): Promise<void>;
}

const COMMANDS = ['seal', 'start', 'renew', 'stop', 'checkpoint', 'throttle'] as const;

type CommandName = (typeof COMMANDS)[number];
type CommandHandler = (body: unknown) => Result<unknown, WorkerRefusal>;

const STATUS_REFUSED = 409;
const DEFAULT_USAGE_LAG_MILLISECONDS = 2_000;

/**
 * Starts a stand-in for a worker.
 *
 * @param options identity, size and place
 * @returns the running stand-in
 */
export async function startWorkerStandIn(options: WorkerStandInOptions): Promise<WorkerStandIn> {
  const { workerId, capacity, random = Math.random, clock = createSystemClock() } = options;
  const record = options.record ?? createRunRecord();
  const faults: WorkerFaults = {
    failsEveryTask: false,
    usageLagMilliseconds: DEFAULT_USAGE_LAG_MILLISECONDS,
    isSilent: false,
    delayMilliseconds: 0,
    lostAnswerFraction: 0,
  };
  let state = createState();
  let isUp = true;
  let isPaused = false;
  let resumeListeners: (() => void)[] = [];

  function createState(): WorkerState {
    return createWorkerState({ workerId, capacity, clock, record, faults });
  }

  function awaitResumeOrCrash(): Promise<void> {
    return new Promise((resolve) => {
      resumeListeners.push(resolve);
    });
  }

  async function awaitResume(): Promise<void> {
    while (isPaused) await awaitResumeOrCrash();
  }

  function notifyResumeListeners(): void {
    const listeners = resumeListeners;
    resumeListeners = [];
    listeners.forEach((notify) => notify());
  }

  async function handleCommand(
    name: CommandName,
    body: unknown,
    reply: FastifyReply,
  ): Promise<void> {
    const { incarnation } = state;
    if (faults.delayMilliseconds > 0) await sleep(clock, faults.delayMilliseconds);
    await awaitResume();
    // A command that arrived before a crash is gone with the incarnation that it arrived at.
    if (faults.isSilent || !isUp || state.incarnation !== incarnation) {
      reply.hijack();
      return;
    }
    const outcome = (state[name] as CommandHandler)(body);
    if (random() < faults.lostAnswerFraction) {
      reply.hijack();
      reply.raw.destroy();
      return;
    }
    if (outcome.isOk()) await reply.send(outcome.value);
    else await reply.status(STATUS_REFUSED).send(outcome.error);
  }

  const server = await startRestartableServer(options, (app) => {
    COMMANDS.forEach((name) => {
      app.post(`/${name}`, (request, reply) => handleCommand(name, request.body, reply));
    });
  });

  function resume(): void {
    if (!isPaused) return;
    isPaused = false;
    state.resume();
    notifyResumeListeners();
  }

  async function crash(): Promise<void> {
    if (!isUp) return;
    isUp = false;
    isPaused = false;
    state.crash();
    notifyResumeListeners();
    await server.stop();
  }

  return {
    workerId,
    address: server.address,
    vm: {
      id: workerId,
      role: 'worker',
      state: 'live',
      address: server.address,
      dataCentre: options.dataCentre ?? 'dc1',
      rack: options.rack ?? 'rack1',
      capacity,
    },
    faults,
    record,
    incarnation: () => state.incarnation,
    running: () => state.running(),
    crash,
    async restart() {
      if (isUp) await crash();
      state = createState();
      isUp = true;
      await server.restart();
    },
    pause() {
      if (!isUp || isPaused) return;
      isPaused = true;
      state.pause();
    },
    resume,
    close: crash,
  };
}
