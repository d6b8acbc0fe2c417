import { createSystemClock, sha256, sleep, teamsSectionSchema } from '@chicorybend/common';

import type { RevokedKey, TeamLimit } from '../types/observation.js';
import type { Submission } from '../types/workPlan.js';
import type { Random } from '../utils/random.js';
import type { CallTarget, Workload } from './workload.js';
import type { ConfigurationAnswer, OperatorCaller } from './operatorCaller.js';

/** Options of the operator of a soak. */
export interface SoakOperatorOptions {
  readonly operator: OperatorCaller;
  readonly workload: Workload;
  readonly pickTarget: () => CallTarget;
  readonly random: Random;
  /** Queues and teams of the requests that are sent under the issued keys. */
  readonly submissions: readonly Submission[];
  /** Upper limits of the teams at the start of the soak. */
  readonly limits: readonly TeamLimit[];
  /** Wall-clock time in milliseconds since the Unix epoch; the same clock as that of the record. */
  readonly now: () => number;
}

/** Changes that the operator made during a soak, as input of the checks. */
export interface OperatorObservations {
  readonly limits: readonly TeamLimit[];
  readonly revokedKeys: readonly RevokedKey[];
  /** Number of changes that were answered as applied. */
  readonly applied: number;
}

/** Prefix of the ids of the keys that the operator issues and revokes. */
export const ISSUED_KEY_PREFIX = 'soak-';
const CHANGE_INTERVAL_MILLISECONDS = 4_000;
const LOWEST_LIMIT_FRACTION = 0.2;
const HIGHEST_LIMIT_FACTOR = 2;
// Longer than a revocation takes to come into effect on all daemons.
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
 * Changes team limits at random and issues and revokes keys, while other load runs.
 *
 * @param durationMilliseconds how long to make changes, in milliseconds
 * @param isOver ends the changes early once it returns true
 * @returns the changes with the times from which they count
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

  /** @returns time of the answer, or null if the change was not answered as applied */
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

  /** @returns random limit between a fifth and twice the original one */
  function chooseLimit(original: number): number {
    return random.integer(
      Math.max(1, Math.floor(original * LOWEST_LIMIT_FRACTION)),
      Math.max(1, original * HIGHEST_LIMIT_FACTOR),
    );
  }

  /**
   * Changes the limits of one team. Until the answer arrives, daemons may use either limit: a raised one counts from
   * the sending of the change, a lowered one only from its answer.
   */
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

  /** Issues a key, sends requests under it, revokes it, and keeps sending so that the check can detect late use. */
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
