import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { closeSync, openSync } from 'node:fs';
import { fileURLToPath } from 'node:url';

import { createSystemClock, TIMED_OUT, withTimeout } from '@chicorybend/common';

/** How a process ended. */
export interface ProcessExit {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

/** A program that is started, signalled and started again, one process at a time. */
export interface DaemonProcess {
  /** @returns process id, or null if it does not run */
  processId(): number | null;
  /**
   * Starts the process unless it runs.
   *
   * @param nextProgram program from now on; the one of the last start by default
   */
  start(nextProgram?: string): void;
  /** Ends the process at once (SIGKILL). */
  kill(): Promise<void>;
  /** Stops the process where it stands (SIGSTOP). */
  pause(): void;
  /** Lets a paused process go on (SIGCONT). */
  resume(): void;
  /**
   * Asks the process for a planned stop (SIGTERM).
   *
   * @param limitMilliseconds time after which the process is killed, in milliseconds
   * @returns how it ended
   */
  terminate(limitMilliseconds: number): Promise<ProcessExit>;
  /** @returns how each former process ended, in order */
  exits(): readonly ProcessExit[];
}

/** Program of the daemon. */
export const DAEMON_PROGRAM = fileURLToPath(
  new URL('../../../daemon/dist/main.js', import.meta.url),
);

/** Processes that run; killed when this process exits, so that none is left behind. */
const runningProcesses = new Set<ChildProcess>();

function killAll(): void {
  runningProcesses.forEach((child) => child.kill('SIGKILL'));
}

process.on('exit', killAll);
(['SIGINT', 'SIGTERM', 'SIGHUP'] as const).forEach((signal) => {
  process.once(signal, () => {
    killAll();
    process.kill(process.pid, signal);
  });
});

/**
 * Prepares a Node.js program to be run as a child process.
 *
 * @param program path of the program
 * @param programArguments flags of the program
 * @param outputFile file that standard output and standard error are appended to
 * @returns control of the process, which is not started yet
 */
export function createDaemonProcess(
  program: string,
  programArguments: readonly string[],
  outputFile: string,
): DaemonProcess {
  const clock = createSystemClock();
  const exits: ProcessExit[] = [];
  let presentProgram = program;
  let current: ChildProcess | null = null;
  let ended: Promise<ProcessExit> = Promise.resolve({ code: null, signal: null });

  function noteExit(child: ChildProcess, exit: ProcessExit): void {
    runningProcesses.delete(child);
    exits.push(exit);
    if (current === child) current = null;
  }

  function watch(child: ChildProcess): Promise<ProcessExit> {
    return new Promise((resolve) => {
      child.once('exit', (code, signal) => {
        const exit = { code, signal };
        noteExit(child, exit);
        resolve(exit);
      });
    });
  }

  async function kill(): Promise<void> {
    current?.kill('SIGKILL');
    await ended;
  }

  return {
    processId: () => current?.pid ?? null,
    start(nextProgram = presentProgram) {
      if (current) return;
      presentProgram = nextProgram;
      const output = openSync(outputFile, 'a');
      const child = spawn(process.execPath, [presentProgram, ...programArguments], {
        stdio: ['ignore', output, output],
      });
      closeSync(output);
      runningProcesses.add(child);
      current = child;
      ended = watch(child);
    },
    kill,
    pause: () => {
      current?.kill('SIGSTOP');
    },
    resume: () => {
      current?.kill('SIGCONT');
    },
    async terminate(limitMilliseconds) {
      current?.kill('SIGTERM');
      const exit = await withTimeout(clock, ended, limitMilliseconds);
      if (exit !== TIMED_OUT) return exit;
      await kill();
      return ended;
    },
    exits: () => exits,
  };
}
