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

/** A child process that can be signalled and restarted; at most one instance runs at a time. */
export interface DaemonProcess {
  /** @returns process id, or null if no process is running */
  processId(): number | null;
  /**
   * Starts the process unless it is running.
   *
   * @param nextProgram program of this start and of later ones; by default the program of the last start
   */
  start(nextProgram?: string): void;
  /** Kills the process (SIGKILL) and waits for its exit. */
  kill(): Promise<void>;
  /** Suspends the process (SIGSTOP). */
  pause(): void;
  /** Resumes a paused process (SIGCONT). */
  resume(): void;
  /**
   * Requests a graceful shutdown (SIGTERM) and waits for the exit.
   *
   * @param limitMilliseconds time after which the process is killed, in milliseconds
   */
  terminate(limitMilliseconds: number): Promise<ProcessExit>;
  /** @returns exits of all earlier processes, oldest first */
  exits(): readonly ProcessExit[];
}

/** Path of the built daemon. */
export const DAEMON_PROGRAM = fileURLToPath(
  new URL('../../../daemon/dist/main.js', import.meta.url),
);

/** Running child processes; killed when this process exits, so that none is orphaned. */
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
 * Prepares a Node.js program to be run as a child process, without starting it.
 *
 * @param program path of the program
 * @param programArguments command-line arguments of the program
 * @param outputFile file that standard output and standard error are appended to
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
