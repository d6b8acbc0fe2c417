import { createFailure, sleep, TIMED_OUT, withTimeout } from '@chicorybend/common';

import type { AdviceClient, AdviceOutcome, AdviceTicket } from '../types/advice.js';
import type { CallerAnswer, CallerRequest } from '../types/caller.js';
import type { ClusterStore } from '../types/clusterStore.js';
import type { SchedulerDependencies } from '../types/schedulerDependencies.js';
import { createCallAttempts } from './callAttempts.js';
import type { AttemptOutcome, WithheldRefusal } from './callAttempts.js';
import { createOwnerElection } from './ownerElection.js';
import type { OwnerRecord } from './ownerElection.js';
import { countTurnsBeforeClaim, createOwnerPreference } from './ownerPreference.js';
import type { OwnerCandidate, VmCapacity } from './ownerPreference.js';
import { createOwnerTerm } from './ownerTerm.js';
import type { OwnerTerm } from './ownerTerm.js';
import { listenForPeers, openPeerChannel } from './peerChannel.js';
import type { PeerChannel, PeerHandlers, PeerListener } from './peerChannel.js';

/** Interval of pings on the connection to the owner. */
const PING_INTERVAL_MILLISECONDS = 1_000;
/** A connection on which a ping is unanswered for this long is replaced. */
const PING_TIMEOUT_MILLISECONDS = 1_000;
const CONNECT_TIMEOUT_MILLISECONDS = 500;
/** Delay before the next attempt to connect to the owner. */
const RECONNECT_DELAY_MILLISECONDS = 100;
/** A peer gives up its call to the advice service this long before its answer is due, so that it can report that. */
const PEER_ANSWER_MARGIN_MILLISECONDS = 100;
/** Maximum wait for an owner that answers; longer than a takeover takes. */
const OWNER_TIMEOUT_MILLISECONDS = 2_500;
/** A call is not sent to the owner with less time left, because its answer would come too late to be known. */
const MINIMUM_CALL_MILLISECONDS = 150;

export interface SchedulerOptions extends SchedulerDependencies {
  /** The store over connections of its own, so that renewals of the lease wait for no other call. */
  readonly electionStore: ClusterStore;
  /** Null where the platform has no advice service. */
  readonly advice: AdviceClient | null;
  /** Time to live of the owner's lease, in milliseconds. */
  readonly leaseMilliseconds: number;
  /** Delay before claiming ownership, in milliseconds, so that VMs with more capacity claim first. */
  readonly claimDelayMilliseconds: number;
  /** Number of cores that this process may use. */
  readonly processors: number;
  /** Rate of this VM's link, in megabits per second; null if it is not known. */
  readonly linkMegabitsPerSecond: number | null;
  /** `<address>:<port>` on which this VM accepts connections of its peers. */
  readonly peerAddress: string;
}

/** The scheduler on one VM: the owner of all jobs, or a standby that forwards requests to the owner. */
export interface Scheduler {
  start(): Promise<void>;
  /**
   * Handles a request at the owner; retries while there is no owner or it does not answer.
   *
   * @param limitMilliseconds maximum time that the caller waits, in milliseconds
   */
  handle(request: CallerRequest, limitMilliseconds: number): Promise<CallerAnswer>;
  /** @returns whether this VM is the owner or is connected to it */
  isReady(): boolean;
  /** Gives up ownership, so that another VM takes over at once; requests are still forwarded to the new owner. */
  handOver(): Promise<void>;
  /** Ends the term and all connections. */
  stop(): void;
}

/** Parameters of a call for advice that the owner makes through a peer. */
interface AdviceCall {
  readonly stepId: string;
  readonly endpointIds: readonly string[];
  readonly timeoutMilliseconds: number;
}

function isAdviceCall(parameters: unknown): parameters is AdviceCall {
  const { stepId, endpointIds, timeoutMilliseconds } = (parameters ?? {}) as Partial<AdviceCall>;
  return (
    typeof stepId === 'string' &&
    typeof timeoutMilliseconds === 'number' &&
    Array.isArray(endpointIds) &&
    endpointIds.every((endpointId) => typeof endpointId === 'string')
  );
}

function isAdviceTicket(value: unknown): value is AdviceTicket {
  const { endpointId, ticket } = (value ?? {}) as Partial<AdviceTicket>;
  return typeof endpointId === 'string' && typeof ticket === 'string';
}

/** @returns outcome that a peer has reported; a failure if the report is malformed */
function readAdviceOutcome(result: unknown): AdviceOutcome {
  const { kind, reason, tickets, validMilliseconds } = (result ?? {}) as Record<string, unknown>;
  if (kind === 'failed' && typeof reason === 'string') return { kind, reason };
  const isAnswer =
    kind === 'answered' &&
    Array.isArray(tickets) &&
    tickets.every(isAdviceTicket) &&
    typeof validMilliseconds === 'number';
  if (!isAnswer) return { kind: 'failed', reason: 'invalid answer of the peer' };
  return { kind, tickets, validMilliseconds };
}

/** @returns capacity that an owner reports with a ping; earlier builds do not send the link */
function readCapacity(result: unknown): VmCapacity | null {
  const { processors, linkMegabitsPerSecond: link } = (result ?? {}) as Partial<VmCapacity>;
  if (typeof processors !== 'number') return null;
  return { processors, linkMegabitsPerSecond: typeof link === 'number' ? link : null };
}

/** Request of a caller, and the term that the sender takes the receiver to own; earlier builds do not send it. */
type ForwardedRequest = CallerRequest & { readonly ownerEpoch?: number };

interface OwnerConnection {
  readonly owner: OwnerRecord;
  readonly channel: PeerChannel;
}

/** Creates the scheduler of a VM; {@link Scheduler.start} starts it. */
export function createScheduler(options: SchedulerOptions): Scheduler {
  const { clock, log, metrics, peerAddress } = options;
  const ownCapacity: VmCapacity = {
    processors: options.processors,
    linkMegabitsPerSecond: options.linkMegabitsPerSecond,
  };
  const preference = createOwnerPreference(ownCapacity);
  /** Of the owner that was last known; null until one has answered. */
  let ownerCapacity: VmCapacity | null = null;
  let term: OwnerTerm | null = null;
  let termEpoch = -Infinity;
  let termStartedAt = -Infinity;
  let ownerChannel: OwnerConnection | null = null;
  /** Epoch of the last term that its owner itself has reported as ended. */
  let endedEpoch = -Infinity;
  let listener: PeerListener | null = null;
  let isStopped = false;
  const adviceChannelRemovers = new Map<PeerChannel, () => void>();
  const ownerChangeListeners = new Set<() => void>();

  const election = createOwnerElection({
    store: options.electionStore,
    clock,
    log,
    address: peerAddress,
    leaseMilliseconds: options.leaseMilliseconds,
    claimDelayMilliseconds: options.claimDelayMilliseconds,
    claimTurns: () => countTurnsBeforeClaim(ownCapacity, ownerCapacity),
    onOwnerChange: () => notifyOwnerChange(),
    onTermStart(identity) {
      metrics.count('terms');
      termEpoch = identity.epoch;
      termStartedAt = clock.monotonicMilliseconds();
      ownerCapacity = ownCapacity;
      term = createOwnerTerm({
        ...options,
        term: identity,
        isOwnerLeaseValid: () => election.isOwnerLeaseValid(),
        onOwnershipLost: (reason) => election.abandonTerm(reason),
        onRecovered: () => election.recordRecovery(),
      });
      if (options.advice) term.addAdviceChannel(options.advice, peerAddress);
      [...adviceChannelRemovers.keys()].forEach(addPeerAdviceChannel);
      void term.run();
    },
    onTermEnd() {
      term?.end();
      term = null;
      notifyOwnerChange();
    },
  });

  function notifyOwnerChange(): void {
    [...ownerChangeListeners].forEach((listen) => listen());
  }

  function createPeerAdviceClient(channel: PeerChannel): AdviceClient {
    return {
      async advise(stepId, endpointIds, timeoutMilliseconds) {
        const parameters = {
          stepId,
          endpointIds,
          timeoutMilliseconds: timeoutMilliseconds - PEER_ANSWER_MARGIN_MILLISECONDS,
        };
        const outcome = await channel.call('advise', parameters, timeoutMilliseconds);
        if (outcome.kind === 'answered') return readAdviceOutcome(outcome.result);
        metrics.count('advice_lost_at_peer');
        return { kind: 'failed', reason: `peer: ${outcome.reason}` };
      },
    };
  }

  function addPeerAdviceChannel(channel: PeerChannel): void {
    adviceChannelRemovers.set(
      channel,
      term?.addAdviceChannel(createPeerAdviceClient(channel), channel.remoteAddress) ?? (() => {}),
    );
  }

  /** A peer sends itself as a candidate if it is able to own the cell; one of an earlier build never does. */
  function recordPing(parameters: unknown): void {
    const { address } = (parameters ?? {}) as Partial<OwnerCandidate>;
    const capacity = readCapacity(parameters);
    if (typeof address !== 'string' || !capacity) return;
    preference.recordContact({ address, ...capacity }, clock.monotonicMilliseconds());
  }

  const handlers: PeerHandlers = {
    ping(parameters) {
      recordPing(parameters);
      return Promise.resolve(ownCapacity);
    },
    handle: (parameters) => handleAsOwner(parameters as ForwardedRequest),
    advise(parameters) {
      if (!options.advice) return Promise.resolve({ kind: 'failed', reason: 'no advice service' });
      if (!isAdviceCall(parameters)) {
        return Promise.resolve({ kind: 'failed', reason: 'invalid parameters' });
      }
      const { stepId, endpointIds, timeoutMilliseconds } = parameters;
      return options.advice.advise(stepId, endpointIds, timeoutMilliseconds);
    },
  };

  /** A claim takes effect before this VM learns of it, so that others may know of the term before it begins here. */
  function handleAsOwner({ ownerEpoch, ...request }: ForwardedRequest): Promise<CallerAnswer> {
    if (term) return term.handle(request);
    const isTermToCome = ownerEpoch !== undefined && election.hasPendingClaim(ownerEpoch);
    const failure = isTermToCome
      ? createFailure('not-ready')
      : createFailure('not-owner', { daemonId: peerAddress, partition: 0 });
    return Promise.resolve({ kind: 'failed', failure });
  }

  /** Leaves the ownership to a VM with more processors or a faster link, if one is connected. */
  async function watchForBetterOwner(): Promise<void> {
    while (!isStopped) {
      await sleep(clock, PING_INTERVAL_MILLISECONDS);
      const better =
        term && preference.chooseBetterOwner(termStartedAt, clock.monotonicMilliseconds());
      if (better) {
        log.info('ownership yielded', { ...better });
        metrics.count('terms_yielded');
        await election.yieldOwnership('a stronger VM is connected');
      }
    }
  }

  /** @returns this VM, if it should own the cell instead of the owner and has just reached the store */
  async function offerAsOwner(owner: VmCapacity | null): Promise<OwnerCandidate | null> {
    if (!owner || !preference.isBetterThan(owner) || !(await election.canReachStore())) return null;
    return { address: peerAddress, ...ownCapacity };
  }

  async function keepAlive(channel: PeerChannel): Promise<void> {
    let owner: VmCapacity | null = null;
    while (channel.isOpen() && !isStopped) {
      const candidate = await offerAsOwner(owner);
      const outcome = await channel.call('ping', candidate, PING_TIMEOUT_MILLISECONDS);
      if (outcome.kind === 'lost') channel.close();
      else {
        owner = readCapacity(outcome.result) ?? owner;
        ownerCapacity = owner ?? ownerCapacity;
        await sleep(clock, PING_INTERVAL_MILLISECONDS);
      }
    }
  }

  /** Keeps a connection to the current owner while that is another VM. */
  async function maintainOwnerConnection(): Promise<void> {
    while (!isStopped) {
      const owner = election.owner();
      const isCurrent = ownerChannel?.channel.isOpen() && ownerChannel.owner.epoch === owner?.epoch;
      if (!isCurrent) ownerChannel?.channel.close();
      const isConnectable = owner && owner.address !== peerAddress && owner.epoch > endedEpoch;
      if (isConnectable && !isCurrent) {
        const channel = await openPeerChannel(
          owner.address,
          handlers,
          clock,
          CONNECT_TIMEOUT_MILLISECONDS,
        );
        if (channel) {
          log.info('connected to owner', { owner: owner.address, epoch: owner.epoch });
          ownerChannel = { owner, channel };
          void keepAlive(channel);
          void channel.closed.then(() => {
            log.info('connection to owner ended', { owner: owner.address, epoch: owner.epoch });
            election.checkOwner();
            notifyOwnerChange();
          });
          notifyOwnerChange();
        }
      }
      await awaitOwnerChange(isCurrent ? PING_INTERVAL_MILLISECONDS : RECONNECT_DELAY_MILLISECONDS);
    }
  }

  async function awaitOwnerChange(milliseconds: number): Promise<void> {
    let listen = () => {};
    const changed = new Promise<void>((resolve) => {
      listen = resolve;
      ownerChangeListeners.add(listen);
    });
    await withTimeout(clock, changed, milliseconds);
    ownerChangeListeners.delete(listen);
  }

  async function callOwner(
    request: CallerRequest,
    timeoutMilliseconds: number,
  ): Promise<AttemptOutcome> {
    if (term) {
      const outcome = await withTimeout(clock, term.handle(request), timeoutMilliseconds);
      return outcome === TIMED_OUT ? 'lost' : outcome;
    }
    const connection = ownerChannel;
    if (!connection?.channel.isOpen()) return 'not-sent';
    const forwarded: ForwardedRequest = { ...request, ownerEpoch: connection.owner.epoch };
    const outcome = await connection.channel.call('handle', forwarded, timeoutMilliseconds);
    if (outcome.kind === 'lost') return 'lost';
    const answer = outcome.result as CallerAnswer;
    if (isTermEnded(answer)) leaveFormerOwner(connection);
    return answer;
  }

  function isTermEnded(answer: CallerAnswer): boolean {
    return answer.kind === 'failed' && answer.failure.code === 'not-owner';
  }

  /** A VM that cannot read the owner key learns of the end of a term only from the former owner. */
  function leaveFormerOwner({ owner, channel }: OwnerConnection): void {
    endedEpoch = Math.max(endedEpoch, owner.epoch);
    log.info('owner reports the end of its term', { owner: owner.address, epoch: owner.epoch });
    channel.close();
  }

  /** @returns epoch of the term that {@link callOwner} sends to now; -Infinity if there is none */
  function calledEpoch(): number {
    return term ? termEpoch : (ownerChannel?.owner.epoch ?? -Infinity);
  }

  function reportWithheldRefusal({ path }: CallerRequest, refusal: WithheldRefusal): void {
    metrics.count('refusals_withheld');
    log.info('refusal withheld after an unanswered attempt', { path, ...refusal });
  }

  return {
    async start() {
      listener = await listenForPeers(peerAddress, {
        clock,
        handlers,
        messageIntervalMilliseconds: PING_INTERVAL_MILLISECONDS,
        onChannel(channel) {
          addPeerAdviceChannel(channel);
          void channel.closed.then(() => {
            adviceChannelRemovers.get(channel)?.();
            adviceChannelRemovers.delete(channel);
          });
        },
        onSilent({ remoteAddress }) {
          log.info('connection of a silent VM closed', { vm: remoteAddress });
        },
      });
      void election.run();
      void maintainOwnerConnection();
      void watchForBetterOwner();
    },
    async handle(request, limitMilliseconds) {
      const startedAt = clock.monotonicMilliseconds();
      const limit = Math.min(limitMilliseconds, OWNER_TIMEOUT_MILLISECONDS);
      const attempts = createCallAttempts(request, (refusal) =>
        reportWithheldRefusal(request, refusal),
      );
      for (;;) {
        const remaining = limit - (clock.monotonicMilliseconds() - startedAt);
        if (remaining <= (attempts.mayHaveTakenEffect() ? 0 : MINIMUM_CALL_MILLISECONDS)) {
          return attempts.timeoutAnswer();
        }
        const epoch = calledEpoch();
        const answer = attempts.record(await callOwner(request, remaining), epoch);
        if (answer) return answer;
        await awaitOwnerChange(Math.min(remaining, RECONNECT_DELAY_MILLISECONDS));
      }
    },
    isReady: () => term !== null || ownerChannel?.channel.isOpen() === true,
    handOver: () => election.resign(),
    stop() {
      election.stop();
      term?.end();
      term = null;
      isStopped = true;
      ownerChannel?.channel.close();
      listener?.close();
      notifyOwnerChange();
    },
  };
}
