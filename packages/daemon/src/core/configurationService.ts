import { assertInvariant, createFailure, Err, Ok } from '@chicorybend/common';
import type {
  Clock,
  Configuration,
  ConfigurationDocument,
  ConfigurationRoot,
  Counters,
  Failure,
  Log,
  Result,
  SectionDifference,
  StoreClient,
} from '@chicorybend/common';

import type { AuditEntry, ChangeOutcome, OperatorIdentity } from '../types/configurationRecords.js';
import type { ConfigurationView } from '../types/configurationView.js';
import type { MembershipView } from '../types/membershipView.js';
import type { PeerLink } from '../types/peer.js';
import { AUDIT_ENTRIES_PER_PAGE, createAuditTrail } from './audit.js';
import type { AuditReadResult } from './audit.js';
import { createConfigurationChanger } from './configurationChange.js';
import type { ChangeRequest, OperationRecord, WrittenChange } from './configurationChange.js';
import { checkEdit } from './configurationEdit.js';
import type { RequestedEdit } from './configurationEdit.js';
import { createConfigurationFreshness } from './configurationFreshness.js';
import { createConfigurationPeers } from './configurationPeers.js';
import type { PeerConfiguration } from './configurationPeers.js';
import { createConfigurationPoller } from './configurationPoller.js';
import { createConfigurationStore, createReadFailure } from './configurationStore.js';
import { createKeyring } from './keyring.js';
import { createRootWriter } from './rootWriter.js';

/** Newest changes that the history returns. */
const MAXIMUM_HISTORY_ENTRIES = 200;
/** Time limit of one read of the root while polling, in milliseconds; a healthy store answers in a few milliseconds. */
const POLL_READ_TIMEOUT_MILLISECONDS = 1_000;
/** Reads after a notification of a new revision; the first may join a read that began before the change. */
const MAXIMUM_CATCH_UP_READS = 3;

export interface ConfigurationServiceOptions {
  readonly clock: Clock;
  readonly store: StoreClient;
  readonly link: PeerLink;
  readonly membership: MembershipView;
  readonly log: Log;
  readonly counters: Counters;
}

/** Fields of a heartbeat that describe the configuration. */
export interface ConfigurationHeartbeatFields {
  readonly configurationRevision: number;
  /** Age of the last confirmation by this daemon against the store, in milliseconds. */
  readonly freshnessAgeMilliseconds: number;
}

/** The configuration document in the store. */
export interface StoredDocument {
  readonly revision: number;
  readonly sections: ConfigurationDocument;
  readonly changedBy: string;
  readonly changedAt: number;
}

/** Result of validating a change without writing it. */
export interface CheckOutcome {
  readonly revision: number;
  readonly differences: readonly SectionDifference[];
  readonly revokedKeys: readonly string[];
}

/** Keeps the configuration in effect current, and applies changes of operators with their audit trail. */
export interface ConfigurationService extends ConfigurationView {
  /** @returns the configuration fields of the next heartbeat */
  heartbeatFields(): ConfigurationHeartbeatFields;
  /** Reads the configuration once and starts polling. */
  start(): Promise<void>;
  /** Stops polling. */
  stop(): void;
  /** Reads the root now, from the store or, if that fails, from peers. A read in progress is shared. */
  refresh(): Promise<void>;
  /** Reads the document from the store; returns the last one read if the store is unavailable. */
  readDocument(): Promise<Result<StoredDocument, Failure>>;
  /** Validates a change without writing it. */
  check(operator: OperatorIdentity, edit: RequestedEdit): Promise<Result<CheckOutcome, Failure>>;
  /** Writes a change, then waits until it is in effect on all members or the propagation time limit has passed. */
  change(request: ChangeRequest): Promise<Result<ChangeOutcome, Failure>>;
  /** Records an operation in the audit trail; must succeed before the operation is performed. */
  record(operation: OperationRecord): Promise<Result<void, Failure>>;
  /** @returns entries of the newest configuration changes, newest first */
  history(): Promise<Result<AuditReadResult, Failure>>;
  /** @returns entries of the audit trail, newest first */
  audit(limit: number): Promise<Result<AuditReadResult, Failure>>;
  /** Resolves when the background deletion of replaced values has ended. */
  waitForCleanup(): Promise<void>;
}

/** Gives records that came as JSON no prototype, so that a name such as `constructor` finds no inherited property. */
function withoutPrototypes(configuration: Configuration): Configuration {
  const copy = <Value>(record: Readonly<Record<string, Value>>): Record<string, Value> =>
    Object.assign(Object.create(null) as Record<string, Value>, record);
  return {
    ...configuration,
    operators: copy(configuration.operators),
    teams: copy(configuration.teams),
    queues: copy(configuration.queues),
    keys: copy(configuration.keys),
  };
}

function isConfigurationChange(entry: AuditEntry): boolean {
  return entry.toRevision > entry.fromRevision;
}

/**
 * Creates the configuration service of a daemon and registers its peer methods.
 */
export function createConfigurationService(
  options: ConfigurationServiceOptions,
): ConfigurationService {
  const { clock, store, link, membership, log, counters } = options;
  const configurationStore = createConfigurationStore(store);
  const auditTrail = createAuditTrail(store);
  const keyring = createKeyring(clock);
  const freshness = createConfigurationFreshness(clock, membership);
  const peers = createConfigurationPeers({ clock, link, membership });
  const rootWriter = createRootWriter({ clock, store, configurationStore, audit: auditTrail });
  const listeners: ((configuration: Configuration) => void)[] = [];
  let effectiveSnapshot: { root: ConfigurationRoot; configuration: Configuration } | null = null;
  let lastDocument: StoredDocument | null = null;
  let refreshing: Promise<void> | null = null;
  let cleanup: Promise<void> = Promise.resolve();

  function currentRevision(): number {
    return effectiveSnapshot?.configuration.revision ?? 0;
  }

  /** Puts a configuration into effect; an older one or the same is ignored. */
  function install(root: ConfigurationRoot, configuration: Configuration): void {
    if (configuration.revision <= currentRevision()) return;
    assertInvariant(
      configuration.revision > currentRevision() && configuration.revision === root.revision,
      'configuration-never-reverts',
      () => `revision ${configuration.revision} after ${currentRevision()}`,
    );
    effectiveSnapshot = { root, configuration };
    freshness.observeRevision(configuration.revision);
    counters.gauge('configuration.revision', configuration.revision);
    log.info('configuration in effect', {
      revision: configuration.revision,
      changedBy: root.changedBy,
      changedSections: root.changedSections,
    });
    listeners.forEach((listener) => listener(configuration));
  }

  function settleRevocations(): void {
    if (effectiveSnapshot) {
      keyring.liftSettledRevocations(
        effectiveSnapshot.configuration,
        freshness.confirmedAt(currentRevision()),
      );
    }
  }

  async function readFromStore(): Promise<boolean> {
    const startedAt = clock.monotonicMilliseconds();
    const reading = await configurationStore.readSnapshot(POLL_READ_TIMEOUT_MILLISECONDS);
    if (reading.isErr()) {
      counters.increment('configuration.read-failed', 1, { kind: reading.error.kind });
      if (reading.error.kind === 'invalid') {
        log.error('stored configuration is invalid', { message: reading.error.message });
      }
      return false;
    }
    const { root, configuration, document } = reading.value;
    if (root.revision < currentRevision()) {
      log.error('stored configuration is older than the one in effect', {
        stored: root.revision,
        inEffect: currentRevision(),
      });
      return false;
    }
    const { changedBy, changedAt } = root;
    lastDocument = { revision: root.revision, sections: document, changedBy, changedAt };
    if (configuration) install(root, configuration);
    freshness.recordConfirmation(startedAt);
    return true;
  }

  /**
   * Reads the configuration from peers during a store outage. A starting daemon needs the answers of a majority, so
   * that it does not begin with an old revision; a running one only a peer that reported a newer revision.
   */
  async function readFromPeers(): Promise<void> {
    const isBehind = freshness.newestKnownRevision() > currentRevision();
    if (effectiveSnapshot && !isBehind) return;
    const answer: PeerConfiguration | null = effectiveSnapshot
      ? await peers.readAtLeast(freshness.newestKnownRevision())
      : await peers.readFromMajority();
    if (answer) install(answer.root, withoutPrototypes(answer.configuration));
  }

  async function refreshOnce(): Promise<void> {
    const hasReadStore = await readFromStore();
    if (!hasReadStore) await readFromPeers();
    settleRevocations();
  }

  function refresh(): Promise<void> {
    refreshing ??= refreshOnce().finally(() => {
      refreshing = null;
    });
    return refreshing;
  }

  async function catchUpTo(targetRevision: number): Promise<void> {
    freshness.observeRevision(targetRevision);
    for (
      let attempt = 0;
      attempt < MAXIMUM_CATCH_UP_READS && currentRevision() < targetRevision;
      attempt += 1
    ) {
      await refresh();
    }
  }

  function enforceRevocations(revokedKeys: readonly string[], from: string): void {
    const added = keyring.announceRevocations(revokedKeys);
    if (added.length > 0) peers.relayRevocations(added, from);
  }

  const changer = createConfigurationChanger({
    clock,
    daemonId: membership.selfId,
    configurationStore,
    audit: auditTrail,
    rootWriter,
    announceRevocations(revokedKeys) {
      keyring.announceRevocations(revokedKeys);
      return peers.announceRevocations(revokedKeys);
    },
  });

  /** Deletes the replaced values; once per page of the audit trail also the values that unfinished changes left. */
  async function deleteReplacedValues(change: WrittenChange): Promise<void> {
    await configurationStore.deleteReplacedSections(change.replacedSections);
    await auditTrail.trim(change.root);
    if (change.root.revision % AUDIT_ENTRIES_PER_PAGE === 0) {
      await configurationStore.deleteUnreferencedSections();
    }
  }

  async function propagate(change: WrittenChange): Promise<ChangeOutcome> {
    if (change.configuration) install(change.root, change.configuration);
    const notConfirmedBy = await peers.notifyMembers(change.root.revision);
    const members = peers.memberCount();
    return {
      revision: change.root.revision,
      changedSections: change.changedSections,
      inEffectOn: members - notConfirmedBy.length,
      members,
      notConfirmedBy,
    };
  }

  async function readAudit(
    limit: number,
    isWanted?: (entry: AuditEntry) => boolean,
  ): Promise<Result<AuditReadResult, Failure>> {
    const reading = await configurationStore.readRoot();
    if (reading.isErr()) return Err(createFailure('store-unavailable'));
    const entries = await auditTrail.read(reading.value.root, limit, isWanted);
    return entries.mapErr(() => createFailure('store-unavailable'));
  }

  const poller = createConfigurationPoller({
    clock,
    membership,
    isBehind: () => freshness.newestKnownRevision() > currentRevision(),
    confirmedAt: () => freshness.confirmedAt(currentRevision()),
    onTick: settleRevocations,
    refresh,
  });

  link.handle('configuration.announce', async (params, context) => {
    enforceRevocations(params.revokedKeys, context.from);
    return Ok({});
  });
  link.handle('configuration.changed', async (params) => {
    await catchUpTo(params.revision);
    return Ok({ revision: currentRevision() });
  });
  link.handle('configuration.read', async () =>
    Ok({
      root: effectiveSnapshot?.root ?? null,
      configuration: effectiveSnapshot?.configuration ?? null,
    }),
  );

  return {
    current: () => effectiveSnapshot?.configuration ?? null,
    isFresh: () => freshness.isFresh(currentRevision()),
    onChange(listener) {
      listeners.push(listener);
    },
    authenticate(keyText) {
      if (!effectiveSnapshot || !freshness.isFresh(currentRevision())) {
        return Err(createFailure('configuration-not-fresh'));
      }
      return keyring.authenticate(keyText, effectiveSnapshot.configuration);
    },
    heartbeatFields() {
      const age = clock.monotonicMilliseconds() - freshness.localConfirmedAt();
      return {
        configurationRevision: currentRevision(),
        // JSON cannot represent infinity.
        freshnessAgeMilliseconds: Number.isFinite(age) ? Math.ceil(age) : Number.MAX_SAFE_INTEGER,
      };
    },
    async start() {
      await refresh();
      poller.start();
    },
    stop: () => poller.stop(),
    refresh,
    async readDocument() {
      const reading = await configurationStore.readSnapshot();
      if (reading.isErr()) {
        return lastDocument ? Ok(lastDocument) : Err(createReadFailure(reading.error));
      }
      const { root, document } = reading.value;
      const { changedBy, changedAt } = root;
      return Ok({ revision: root.revision, sections: document, changedBy, changedAt });
    },
    async check(operator, edit) {
      const reading = await configurationStore.readSnapshot();
      if (reading.isErr()) return Err(createReadFailure(reading.error));
      const checked = checkEdit(reading.value, operator, edit);
      return checked.map(({ differences, revokedKeys }) => ({
        revision: reading.value.root.revision,
        differences,
        revokedKeys,
      }));
    },
    async change(request) {
      const written = await changer.change(request);
      if (written.isErr()) return written;
      const outcome = await propagate(written.value);
      cleanup = cleanup.then(() => deleteReplacedValues(written.value));
      return Ok(outcome);
    },
    record: (operation) => changer.record(operation),
    history: () => readAudit(MAXIMUM_HISTORY_ENTRIES, isConfigurationChange),
    audit: (limit) => readAudit(limit),
    waitForCleanup: () => cleanup,
  };
}
