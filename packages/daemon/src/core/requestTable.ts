import { createFailure, Err, Ok } from '@chicorybend/common';
import type { Clock, Failure, InteractiveResponse, Result } from '@chicorybend/common';
import { z } from 'zod';

import {
  CLOCK_SKEW_MILLISECONDS,
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
export type TableVerdict =
  /** Seen for the first time: run it, then call `settle`. */
  | { readonly kind: 'first'; settle(outcome: RequestOutcome): void }
  /** Seen before with the same body: this is, or will be, the answer. */
  | { readonly kind: 'joined'; readonly outcome: Promise<RequestOutcome> }
  | { readonly kind: 'refused'; readonly failure: Failure };

/** Deduplication of the non-idempotent interactive requests of one partition. */
export interface RequestTable {
  begin(identity: RequestIdentity): TableVerdict;
  /** @returns JSON state for the next owner of the partition */
  handOver(): HandedTable;
  /** @returns keys that are kept */
  size(): number;
}

/** What a request table needs. */
export interface RequestTableOptions {
  readonly clock: Clock;
  /** State of the former owner's table; null after a takeover. */
  readonly handedOver: HandedTable | null;
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
const HANDED_KEYS = 10_000;
const HANDED_ANSWER_BYTES = 4_194_304;

const OVERLOADED_RETRY_MILLISECONDS = 1_000;

const handedEntrySchema = z.strictObject({
  name: z.string(),
  bodyHash: z.string(),
  ageMilliseconds: z.number(),
  /** JSON text of the response or failure; null if the request was in progress. */
  answer: z.string().nullable(),
});

/** Schema of {@link HandedTable}. */
export const handedTableSchema = z.strictObject({
  /** Keys made before this wall-clock time may have been run and forgotten. */
  unknownBefore: z.number(),
  entries: z.array(handedEntrySchema),
});

/** State of a table on its way to the next owner, oldest key first. */
export type HandedTable = z.infer<typeof handedTableSchema>;

interface Entry {
  readonly bodyHash: string;
  readonly timestamp: number;
  readonly startedAt: number;
  /** Ended, or resolved when the first request with this key ends. */
  readonly outcome: Promise<RequestOutcome>;
  /** JSON text of the ended outcome; null while in progress. */
  answer: string | null;
}

interface EncodedOutcome {
  readonly response?: InteractiveResponse;
  readonly failure?: Failure;
}

function encode(outcome: RequestOutcome): string {
  const encoded: EncodedOutcome = outcome.isOk()
    ? { response: outcome.value }
    : { failure: outcome.error };
  return JSON.stringify(encoded);
}

function decode(answer: string | null): RequestOutcome {
  if (answer === null) {
    const reason = 'it was in progress when its partition moved';
    return Err(createFailure('outcome-unknown', { target: 'an endpoint', reason }));
  }
  const { response, failure } = JSON.parse(answer) as EncodedOutcome;
  return response ? Ok(response) : Err(failure as Failure);
}

function timestampOfName(name: string): number {
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
  const keptMilliseconds = REQUEST_KEY_MAXIMUM_AGE_MILLISECONDS + 2 * CLOCK_SKEW_MILLISECONDS;
  /** In the order in which the keys arrived. */
  const entries = new Map<string, Entry>();
  let answerBytes = 0;
  let unknownBefore = options.handedOver?.unknownBefore ?? findTakeoverLimit();
  options.handedOver?.entries.forEach(adopt);

  /**
   * The former owner took keys up to `CLOCK_SKEW` ahead of its clock, which may itself be `CLOCK_SKEW` ahead
   * of this one.
   */
  function findTakeoverLimit(): number {
    if (options.formerOwnerStoppedAt === null) return 0;
    const sinceStop = clock.monotonicMilliseconds() - options.formerOwnerStoppedAt;
    return clock.wallMilliseconds() - sinceStop + 2 * CLOCK_SKEW_MILLISECONDS;
  }

  function adopt(handed: HandedTable['entries'][number]): void {
    answerBytes += handed.answer?.length ?? 0;
    const outcome = decode(handed.answer);
    entries.set(handed.name, {
      bodyHash: handed.bodyHash,
      timestamp: timestampOfName(handed.name),
      startedAt: clock.monotonicMilliseconds() - handed.ageMilliseconds,
      outcome: Promise.resolve(outcome),
      answer: handed.answer ?? encode(outcome),
    });
  }

  function forget(name: string, entry: Entry): void {
    entries.delete(name);
    answerBytes -= entry.answer?.length ?? 0;
  }

  function isOverfull(): boolean {
    return entries.size >= maximumKeys || answerBytes > maximumBytes;
  }

  /** Forgets keys that are too old to come again, then the oldest ones for which there is no room. */
  function makeRoom(): void {
    const now = clock.monotonicMilliseconds();
    for (const [name, entry] of entries) {
      const age = now - entry.startedAt;
      if (age < keptMilliseconds) {
        const isInProgress = entry.answer === null;
        if (!isOverfull() || isInProgress || age < MAXIMUM_REQUEST_MILLISECONDS) return;
        unknownBefore = Math.max(unknownBefore, entry.timestamp + 1);
      }
      forget(name, entry);
    }
  }

  function checkTimestamp(timestamp: number): Failure | null {
    const age = clock.wallMilliseconds() - timestamp;
    if (age < -CLOCK_SKEW_MILLISECONDS) {
      return createFailure('idempotency-key-in-future', { milliseconds: Math.ceil(-age) });
    }
    if (age > REQUEST_KEY_MAXIMUM_AGE_MILLISECONDS || timestamp < unknownBefore) {
      return createFailure('idempotency-key-expired');
    }
    return null;
  }

  function findSeen(entry: Entry, bodyHash: string): TableVerdict {
    if (entry.bodyHash === bodyHash) return { kind: 'joined', outcome: entry.outcome };
    return { kind: 'refused', failure: createFailure('idempotency-key-reused') };
  }

  function addFirst(name: string, identity: RequestIdentity, timestamp: number): TableVerdict {
    let resolveOutcome: (outcome: RequestOutcome) => void = () => undefined;
    const entry: Entry = {
      bodyHash: identity.bodyHash,
      timestamp,
      startedAt: clock.monotonicMilliseconds(),
      outcome: new Promise((resolve) => {
        resolveOutcome = resolve;
      }),
      answer: null,
    };
    entries.set(name, entry);
    return {
      kind: 'first',
      settle(outcome) {
        if (outcome.isErr() && outcome.error.run === 'not-run') forget(name, entry);
        else {
          entry.answer = encode(outcome);
          answerBytes += entry.answer.length;
        }
        resolveOutcome(outcome);
      },
    };
  }

  function begin(identity: RequestIdentity): TableVerdict {
    makeRoom();
    const name = `${identity.team}/${identity.idempotencyKey}`;
    const seen = entries.get(name);
    if (seen) return findSeen(seen, identity.bodyHash);
    const timestamp = timestampOfName(name);
    const failure = checkTimestamp(timestamp);
    if (failure) return { kind: 'refused', failure };
    if (isOverfull()) {
      const retry = { retryAfterMilliseconds: OVERLOADED_RETRY_MILLISECONDS };
      return { kind: 'refused', failure: createFailure('overloaded', {}, retry) };
    }
    return addFirst(name, identity, timestamp);
  }

  function handOver(): HandedTable {
    makeRoom();
    const now = clock.monotonicMilliseconds();
    const handed: HandedTable['entries'] = [];
    let handedBytes = 0;
    let limit = unknownBefore;
    [...entries].reverse().forEach(([name, entry]) => {
      handedBytes += entry.answer?.length ?? 0;
      if (handed.length >= HANDED_KEYS || handedBytes > HANDED_ANSWER_BYTES) {
        limit = Math.max(limit, entry.timestamp + 1);
        return;
      }
      const ageMilliseconds = now - entry.startedAt;
      handed.push({ name, bodyHash: entry.bodyHash, ageMilliseconds, answer: entry.answer });
    });
    return { unknownBefore: limit, entries: handed.reverse() };
  }

  return { begin, handOver, size: () => entries.size };
}
