import { createFailure, Err, Ok } from '@chicorybend/common';
import type { Clock, Failure, InteractiveResponse, Result } from '@chicorybend/common';
import { z } from 'zod';

import {
  MAXIMUM_CLOCK_SKEW_MILLISECONDS,
  MAXIMUM_REQUEST_MILLISECONDS,
  REQUEST_KEY_MAXIMUM_AGE_MILLISECONDS,
} from '../utils/interactiveTimes.js';
import { readKeyTimestamp } from '../utils/requestKey.js';

/** How a request ended. */
export type RequestOutcome = Result<InteractiveResponse, Failure>;

/** Identity of a non-idempotent request. */
export interface RequestIdentity {
  readonly team: string;
  /** UUID version 7. */
  readonly idempotencyKey: string;
  readonly bodyHash: string;
}

/** What the table knows about a request that arrives. */
export type DeduplicationResult =
  /** Seen for the first time: run it, then call `settle`. */
  | { readonly kind: 'first'; settle(outcome: RequestOutcome): void }
  /** Seen before with the same body: this is, or will be, the answer. */
  | { readonly kind: 'joined'; readonly outcome: Promise<RequestOutcome> }
  | { readonly kind: 'refused'; readonly failure: Failure };

/** Deduplication of the non-idempotent interactive requests of one partition. */
export interface RequestTable {
  begin(identity: RequestIdentity): DeduplicationResult;
  /** @returns JSON state for the next owner of the partition */
  handOver(): RequestTableHandover;
  /** @returns keys that are kept */
  size(): number;
}

/** What a request table needs. */
export interface RequestTableOptions {
  readonly clock: Clock;
  /** State of the former owner's table; null after a takeover. */
  readonly handedOver: RequestTableHandover | null;
  /**
   * Monotonic time in milliseconds at which the former owner had stopped acting; null if there was none or
   * its table was handed over.
   */
  readonly formerOwnerStoppedAt: number | null;
  /** Most keys kept; the oldest ones are forgotten beyond it. */
  readonly maximumKeys?: number;
  /** Most bytes of answers kept. */
  readonly maximumAnswerBytes?: number;
}

const DEFAULT_MAXIMUM_KEYS = 50_000;
const DEFAULT_MAXIMUM_ANSWER_BYTES = 33_554_432;

/** Bounds the size of one handover message. */
const MAXIMUM_HANDOVER_KEYS = 10_000;
const MAXIMUM_HANDOVER_ANSWER_BYTES = 4_194_304;

const OVERLOADED_RETRY_MILLISECONDS = 1_000;

const handoverEntrySchema = z.strictObject({
  name: z.string(),
  bodyHash: z.string(),
  ageMilliseconds: z.number(),
  /** JSON text of the response or failure; null if the request was in progress. */
  answer: z.string().nullable(),
});

/** Schema of {@link RequestTableHandover}. */
export const requestTableHandoverSchema = z.strictObject({
  /** Keys made before this wall-clock time may have been run and forgotten. */
  unknownBefore: z.number(),
  entries: z.array(handoverEntrySchema),
});

/** State of a table on its way to the next owner, oldest key first. */
export type RequestTableHandover = z.infer<typeof requestTableHandoverSchema>;

interface Entry {
  readonly bodyHash: string;
  readonly timestamp: number;
  readonly addedAt: number;
  /** Ended, or resolved when the first request with this key ends. */
  readonly outcome: Promise<RequestOutcome>;
  /** JSON text of the ended outcome; null while in progress. */
  answer: string | null;
}

interface SerialisedOutcome {
  readonly response?: InteractiveResponse;
  readonly failure?: Failure;
}

function encodeOutcome(outcome: RequestOutcome): string {
  const encoded: SerialisedOutcome = outcome.isOk()
    ? { response: outcome.value }
    : { failure: outcome.error };
  return JSON.stringify(encoded);
}

function decodeOutcome(answer: string | null): RequestOutcome {
  if (answer === null) {
    const reason = 'it was in progress when its partition moved';
    return Err(createFailure('outcome-unknown', { target: 'an endpoint', reason }));
  }
  const { response, failure } = JSON.parse(answer) as SerialisedOutcome;
  return response ? Ok(response) : Err(failure as Failure);
}

function readNameTimestamp(name: string): number {
  return readKeyTimestamp(name.slice(name.indexOf('/') + 1)) ?? 0;
}

/**
 * Creates the deduplication table of one partition. Keys are kept until their timestamp is too old to be
 * accepted. Keys that the table may have lost, in a takeover or for lack of room, are answered as unknown.
 *
 * @param options clock and what is known of the former owner
 * @returns the table
 */
export function createRequestTable(options: RequestTableOptions): RequestTable {
  const { clock } = options;
  const maximumKeys = options.maximumKeys ?? DEFAULT_MAXIMUM_KEYS;
  const maximumBytes = options.maximumAnswerBytes ?? DEFAULT_MAXIMUM_ANSWER_BYTES;
  const retentionMilliseconds =
    REQUEST_KEY_MAXIMUM_AGE_MILLISECONDS + 2 * MAXIMUM_CLOCK_SKEW_MILLISECONDS;
  /** In the order in which the keys arrived. */
  const entries = new Map<string, Entry>();
  let answerBytes = 0;
  let unknownBefore = options.handedOver?.unknownBefore ?? findTakeoverCutoff();
  options.handedOver?.entries.forEach(adopt);

  /**
   * The former owner took keys up to `CLOCK_SKEW` ahead of its clock, which may itself be `CLOCK_SKEW` ahead
   * of this one.
   */
  function findTakeoverCutoff(): number {
    if (options.formerOwnerStoppedAt === null) return 0;
    const sinceStop = clock.monotonicMilliseconds() - options.formerOwnerStoppedAt;
    return clock.wallMilliseconds() - sinceStop + 2 * MAXIMUM_CLOCK_SKEW_MILLISECONDS;
  }

  function adopt(handed: RequestTableHandover['entries'][number]): void {
    answerBytes += handed.answer?.length ?? 0;
    const outcome = decodeOutcome(handed.answer);
    entries.set(handed.name, {
      bodyHash: handed.bodyHash,
      timestamp: readNameTimestamp(handed.name),
      addedAt: clock.monotonicMilliseconds() - handed.ageMilliseconds,
      outcome: Promise.resolve(outcome),
      answer: handed.answer ?? encodeOutcome(outcome),
    });
  }

  function removeEntry(name: string, entry: Entry): void {
    entries.delete(name);
    answerBytes -= entry.answer?.length ?? 0;
  }

  function isFull(): boolean {
    return entries.size >= maximumKeys || answerBytes > maximumBytes;
  }

  /** Forgets keys that are too old to come again, then the oldest ones for which there is no room. */
  function evictEntries(): void {
    const now = clock.monotonicMilliseconds();
    for (const [name, entry] of entries) {
      const age = now - entry.addedAt;
      if (age < retentionMilliseconds) {
        const isInProgress = entry.answer === null;
        if (!isFull() || isInProgress || age < MAXIMUM_REQUEST_MILLISECONDS) return;
        unknownBefore = Math.max(unknownBefore, entry.timestamp + 1);
      }
      removeEntry(name, entry);
    }
  }

  function checkTimestamp(timestamp: number): Failure | null {
    const age = clock.wallMilliseconds() - timestamp;
    if (age < -MAXIMUM_CLOCK_SKEW_MILLISECONDS) {
      return createFailure('idempotency-key-in-future', { milliseconds: Math.ceil(-age) });
    }
    if (age > REQUEST_KEY_MAXIMUM_AGE_MILLISECONDS || timestamp < unknownBefore) {
      return createFailure('idempotency-key-expired');
    }
    return null;
  }

  function checkRepeated(entry: Entry, bodyHash: string): DeduplicationResult {
    if (entry.bodyHash === bodyHash) return { kind: 'joined', outcome: entry.outcome };
    return { kind: 'refused', failure: createFailure('idempotency-key-reused') };
  }

  function addEntry(
    name: string,
    identity: RequestIdentity,
    timestamp: number,
  ): DeduplicationResult {
    let resolveOutcome: (outcome: RequestOutcome) => void = () => undefined;
    const entry: Entry = {
      bodyHash: identity.bodyHash,
      timestamp,
      addedAt: clock.monotonicMilliseconds(),
      outcome: new Promise((resolve) => {
        resolveOutcome = resolve;
      }),
      answer: null,
    };
    entries.set(name, entry);
    return {
      kind: 'first',
      settle(outcome) {
        if (outcome.isErr() && outcome.error.run === 'not-run') removeEntry(name, entry);
        else {
          entry.answer = encodeOutcome(outcome);
          answerBytes += entry.answer.length;
        }
        resolveOutcome(outcome);
      },
    };
  }

  function begin(identity: RequestIdentity): DeduplicationResult {
    evictEntries();
    const name = `${identity.team}/${identity.idempotencyKey}`;
    const seen = entries.get(name);
    if (seen) return checkRepeated(seen, identity.bodyHash);
    const timestamp = readNameTimestamp(name);
    const failure = checkTimestamp(timestamp);
    if (failure) return { kind: 'refused', failure };
    if (isFull()) {
      const retry = { retryAfterMilliseconds: OVERLOADED_RETRY_MILLISECONDS };
      return { kind: 'refused', failure: createFailure('overloaded', {}, retry) };
    }
    return addEntry(name, identity, timestamp);
  }

  function handOver(): RequestTableHandover {
    evictEntries();
    const now = clock.monotonicMilliseconds();
    const handed: RequestTableHandover['entries'] = [];
    let handedBytes = 0;
    let limit = unknownBefore;
    [...entries].reverse().forEach(([name, entry]) => {
      handedBytes += entry.answer?.length ?? 0;
      if (handed.length >= MAXIMUM_HANDOVER_KEYS || handedBytes > MAXIMUM_HANDOVER_ANSWER_BYTES) {
        limit = Math.max(limit, entry.timestamp + 1);
        return;
      }
      const ageMilliseconds = now - entry.addedAt;
      handed.push({ name, bodyHash: entry.bodyHash, ageMilliseconds, answer: entry.answer });
    });
    return { unknownBefore: limit, entries: handed.reverse() };
  }

  return { begin, handOver, size: () => entries.size };
}
