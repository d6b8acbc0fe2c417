import { readFileSync } from 'node:fs';

/** What a process has used so far. */
export interface ProcessUsage {
  /** Processor time in milliseconds. */
  readonly processorMilliseconds: number;
  /** Memory in use, shared pages included, in bytes. */
  readonly residentBytes: number;
  /** Memory that no other process shares, in bytes. */
  readonly privateBytes: number;
}

/** Linux counts processor time in hundredths of a second. */
const MILLISECONDS_PER_TICK = 10;
const USER_TIME_FIELD = 11;
const SYSTEM_TIME_FIELD = 12;
const BYTES_PER_KILOBYTE = 1_024;

function readKilobytes(text: string, field: string): number {
  const match = new RegExp(`^${field}:\\s+(\\d+) kB$`, 'm').exec(text);
  return Number(match?.[1] ?? 0) * BYTES_PER_KILOBYTE;
}

/**
 * Reads what a process has used, from the kernel.
 *
 * @param processId process id
 * @returns usage so far
 * @throws if there is no such process
 */
export function readProcessUsage(processId: number): ProcessUsage {
  const stat = readFileSync(`/proc/${processId}/stat`, 'utf8');
  // The name of the program may hold blanks; fields are counted after it.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[USER_TIME_FIELD]) + Number(fields[SYSTEM_TIME_FIELD]);
  const memory = readFileSync(`/proc/${processId}/smaps_rollup`, 'utf8');
  return {
    processorMilliseconds: ticks * MILLISECONDS_PER_TICK,
    residentBytes: readKilobytes(memory, 'Rss'),
    privateBytes: readKilobytes(memory, 'Private_Clean') + readKilobytes(memory, 'Private_Dirty'),
  };
}
