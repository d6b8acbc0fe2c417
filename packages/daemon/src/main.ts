#!/usr/bin/env node
import './utils/heapLimits.js';
import type { Daemon } from './core/daemon.js';

// Static imports are all parsed before the first of them runs, so that the heap limits would come too late for them.
const { formatSettingsHelp } = await import('./core/settingsHelp.js');
const { readSettings } = await import('./core/settingsReader.js');
const { startDaemon } = await import('./core/daemon.js');
const { createStatsdCounters } = await import('./plugins/statsd.js');

const EXIT_INVALID_SETTINGS = 2;
const EXIT_INTERNAL_ERROR = 70;

function exitOnUncaughtError(error: unknown): void {
  console.error(error);
  process.exit(EXIT_INTERNAL_ERROR);
}

async function stopDaemon(daemon: Daemon): Promise<void> {
  const outcome = await daemon.stop();
  process.exit(outcome === 'drained' ? 0 : 1);
}

async function main(): Promise<void> {
  const argv = process.argv.slice(2);
  if (argv.includes('--help')) {
    console.log(formatSettingsHelp());
    return;
  }
  const settings = readSettings(argv, process.env);
  if (settings.isErr()) {
    console.error(settings.error);
    process.exit(EXIT_INVALID_SETTINGS);
  }
  const { statsdAddress, id } = settings.value;
  const counterSinks = statsdAddress ? [createStatsdCounters(statsdAddress, id)] : [];
  let daemon: Daemon | null = null;
  const requestStop = (): void => {
    // A daemon that has not joined yet has nothing to drain.
    if (daemon) void stopDaemon(daemon);
    else process.exit(0);
  };
  process.on('SIGTERM', requestStop);
  process.on('SIGINT', requestStop);
  process.on('unhandledRejection', exitOnUncaughtError);
  process.on('uncaughtException', exitOnUncaughtError);
  daemon = await startDaemon(settings.value, { counterSinks, onDrainRequested: requestStop });
}

await main();
