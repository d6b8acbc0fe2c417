import { readFileSync } from 'node:fs';

/** Processor time and memory of a process. */
export interface ProcessUsage {
  /** User and system time since the start of the process, in milliseconds. */
  readonly processorMilliseconds: number;
  /** Resident memory including shared pages, in bytes. */
  readonly residentBytes: number;
  /** Resident memory that is not shared with other processes, in bytes. */
  readonly privateBytes: number;
}

/** Linux reports processor time in clock ticks of 10 ms. */
const MILLISECONDS_PER_TICK = 10;
const USER_TIME_FIELD = 11;
const SYSTEM_TIME_FIELD = 12;
const BYTES_PER_KILOBYTE = 1_024;

function readKilobytes(text: string, field: string): number {
  const match = new RegExp(`^${field}:\\s+(\\d+) kB$`, 'm').exec(text);
  return Number(match?.[1] ?? 0) * BYTES_PER_KILOBYTE;
}

/**
 * Reads the usage of a process from `/proc`.
 *
 * @throws if there is no such process
 */
export function readProcessUsage(processId: number): ProcessUsage {
  const stat = readFileSync(`/proc/${processId}/stat`, 'utf8');
  // The program name may contain spaces, so the fields are counted from the end of it.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[USER_TIME_FIELD]) + Number(fields[SYSTEM_TIME_FIELD]);
  const memory = readFileSync(`/proc/${processId}/smaps_rollup`, 'utf8');
  return {
    processorMilliseconds: ticks * MILLISECONDS_PER_TICK,
    residentBytes: readKilobytes(memory, 'Rss'),
    privateBytes: readKilobytes(memory, 'Private_Clean') + readKilobytes(memory, 'Private_Dirty'),
  };
}
