import { createSystemClock, sha256, sleep, teamsSectionSchema } from '@chicorybend/common';

import type { RevokedKey, TeamLimit } from '../types/observation.js';
import type { Submission } from '../types/workPlan.js';
import type { Random } from '../utils/random.js';
import type { CallTarget, Workload } from './workload.js';
import type { ConfigurationAnswer, OperatorCaller } from './operatorCaller.js';

/** What the operator of a soak needs. */
export interface SoakOperatorOptions {
  readonly operator: OperatorCaller;
  readonly workload: Workload;
  readonly pickTarget: () => CallTarget;
  readonly random: Random;
  /** Where requests under the operator's own keys go. */
  readonly submissions: readonly Submission[];
  /** Limits of the teams at the start. */
  readonly limits: readonly TeamLimit[];
  /** Time of the observations, the same as of the record. */
  readonly now: () => number;
}

/** What an operator changed during a soak, for the checkers. */
export interface OperatorObservations {
  readonly limits: readonly TeamLimit[];
  readonly revokedKeys: readonly RevokedKey[];
  /** Changes that were answered as applied. */
  readonly applied: number;
}

/** Begins the ids of the keys that the operator issues and revokes. */
export const ISSUED_KEY_PREFIX = 'soak-';
const CHANGE_INTERVAL_MILLISECONDS = 4_000;
const LOWEST_LIMIT_FRACTION = 0.2;
const HIGHEST_LIMIT_FACTOR = 2;
// Longer than the time in which a revocation is in effect everywhere.
const AFTER_REVOCATION_MILLISECONDS = 12_000;
const REQUEST_INTERVAL_MILLISECONDS = 500;
const REQUEST_TIMING = { serviceMilliseconds: 10, deadlineMilliseconds: 1_000 };

type Limits = Pick<TeamLimit, 'tasks' | 'requests'>;
type Sections = Readonly<Record<string, unknown>>;

function largest(left: Limits, right: Limits): Limits {
  return {
    tasks: Math.max(left.tasks, right.tasks),
    requests: Math.max(left.requests, right.requests),
  };
}

/**
 * Changes limits and issues and revokes keys for a time, while other work runs.
 *
 * @param options operator, workload and random numbers
 * @param durationMilliseconds how long to make changes, in milliseconds
 * @param isOver ends the changes before that time
 * @returns what was changed and when
 */
export async function runSoakOperator(
  options: SoakOperatorOptions,
  durationMilliseconds: number,
  isOver: () => boolean = () => false,
): Promise<OperatorObservations> {
  const { operator, workload, pickTarget, random, now } = options;
  const clock = createSystemClock();
  const limits: TeamLimit[] = [...options.limits];
  const revokedKeys: RevokedKey[] = [];
  const keyRuns: Promise<void>[] = [];
  const until = now() + durationMilliseconds;
  let applied = 0;
  let issued = 0;

  async function read(): Promise<ConfigurationAnswer | null> {
    const outcome = await operator.readConfiguration(pickTarget().apiAddress);
    return outcome.kind === 'answered' ? outcome.value : null;
  }

  /** @returns time of the answer if the change was applied */
  async function apply(describe: (sections: Sections) => Sections): Promise<number | null> {
    const current = await read();
    if (!current) return null;
    const { apiAddress } = pickTarget();
    const changed = describe(current.sections);
    const outcome = await operator.applyConfiguration(apiAddress, current.revision, changed);
    if (outcome.kind !== 'answered') return null;
    applied += 1;
    return now();
  }

  /** @returns limit between a fifth of the original one and twice the original one */
  function chooseLimit(original: number): number {
    return random.integer(
      Math.max(1, Math.floor(original * LOWEST_LIMIT_FRACTION)),
      Math.max(1, original * HIGHEST_LIMIT_FACTOR),
    );
  }

  /** A raised limit counts from the sending of the change on, a lowered one from its answer on. */
  async function changeLimits(): Promise<void> {
    const original = random.pick(options.limits);
    const { team } = original;
    const next = { tasks: chooseLimit(original.tasks), requests: chooseLimit(original.requests) };
    const appliedAt = await apply((sections) => {
      const teams = teamsSectionSchema.parse(sections.teams);
      const settings = teams[team];
      if (!settings) throw new Error(`team ${team} is gone`);
      limits.push({ team, from: now(), ...largest(settings.limits, next) });
      return { teams: { ...teams, [team]: { ...settings, limits: next } } };
    });
    if (appliedAt !== null) limits.push({ team, from: appliedAt, ...next });
  }

  async function sendUnder(submission: Submission, untilTime: number): Promise<void> {
    while (now() < untilTime) {
      await workload.sendRequest({ ...submission, ...REQUEST_TIMING, isIdempotent: true });
      await sleep(clock, REQUEST_INTERVAL_MILLISECONDS);
    }
  }

  function describeKeys(sections: Sections, keyId: string, record: object): Sections {
    return { keys: { ...(sections.keys as object), [keyId]: record } };
  }

  /** Issues a key, sends requests under it, revokes it, and goes on sending. */
  async function issueAndRevoke(): Promise<void> {
    issued += 1;
    const keyId = `${ISSUED_KEY_PREFIX}${issued}`;
    const secret = sha256(`${keyId} ${random.fraction()}`);
    const submission = random.pick(options.submissions);
    const issuedAt = Math.floor(Date.now());
    const { team } = submission;
    const record = { team, secretHash: sha256(secret), issuedAt, issuedBy: 'bootstrap' };
    if ((await apply((sections) => describeKeys(sections, keyId, record))) === null) return;
    const own = { ...submission, keyText: `cb_${keyId}_${secret}` };
    await sendUnder(own, now() + REQUEST_INTERVAL_MILLISECONDS);
    const revoked = { ...record, revokedAt: Math.floor(Date.now()) };
    const revokedAt = await apply((sections) => describeKeys(sections, keyId, revoked));
    if (revokedAt === null) return;
    revokedKeys.push({ keyId, revokedAt });
    await sendUnder(own, revokedAt + AFTER_REVOCATION_MILLISECONDS);
  }

  while (now() < until && !isOver()) {
    if (random.chance(0.5)) await changeLimits();
    else keyRuns.push(issueAndRevoke());
    await sleep(clock, CHANGE_INTERVAL_MILLISECONDS);
  }
  await Promise.all(keyRuns);
  return { limits, revokedKeys, applied };
}
