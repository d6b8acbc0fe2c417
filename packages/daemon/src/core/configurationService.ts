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
import { createPolling } from './configurationPolling.js';
import { createConfigurationStore, describeReadError } from './configurationStore.js';
import { createKeyring } from './keyring.js';
import { createRootWriter } from './rootWriter.js';

/** Changes that the history shows. */
const HISTORY_LENGTH = 200;
/** Time for one reading of the root by polling, in milliseconds; the store answers in milliseconds when it is well. */
const POLL_READ_MILLISECONDS = 1_000;
/** Readings made on behalf of a notification; the first may have begun before the change. */
const CATCH_UP_ATTEMPTS = 3;

/** What the service needs. */
export interface ConfigurationServiceOptions {
  readonly clock: Clock;
  readonly store: StoreClient;
  readonly link: PeerLink;
  readonly membership: MembershipView;
  readonly log: Log;
  readonly counters: Counters;
}

/** What heartbeats say about the configuration. */
export interface ConfigurationHeartbeatFacts {
  readonly configurationRevision: number;
  /** Age of this daemon's own last confirmation against the store, in milliseconds. */
  readonly freshnessAgeMilliseconds: number;
}

/** The stored document. */
export interface StoredDocument {
  readonly revision: number;
  readonly sections: ConfigurationDocument;
  readonly changedBy: string;
  readonly changedAt: number;
}

/** Result of checking a change without making it. */
export interface CheckOutcome {
  readonly revision: number;
  readonly differences: readonly SectionDifference[];
  readonly revokedKeys: readonly string[];
}

/** Configuration in effect, freshness, changes, history and audit trail. */
export interface ConfigurationService extends ConfigurationView {
  /** @returns what heartbeats say about the configuration */
  heartbeatFacts(): ConfigurationHeartbeatFacts;
  /** Reads the configuration once and begins to poll. */
  start(): Promise<void>;
  /** Ends polling. */
  stop(): void;
  /** Reads the root now, from the store or else from peers. */
  refresh(): Promise<void>;
  /** Reads the stored document; the one in memory if the store is out. */
  readDocument(): Promise<Result<StoredDocument, Failure>>;
  /** Checks a change without making it. */
  check(operator: OperatorIdentity, edit: RequestedEdit): Promise<Result<CheckOutcome, Failure>>;
  /** Makes a change, and waits until it is in effect on all members or the time is over. */
  change(request: ChangeRequest): Promise<Result<ChangeOutcome, Failure>>;
  /** Records an operation in the audit trail; the operation may be performed after that. */
  record(operation: OperationRecord): Promise<Result<void, Failure>>;
  /** @returns last changes of the configuration, newest first */
  history(): Promise<Result<AuditReadResult, Failure>>;
  /** @returns entries of the audit trail, newest first */
  audit(limit: number): Promise<Result<AuditReadResult, Failure>>;
  /** Waits until the deletion of replaced values has ended. */
  settleBackground(): Promise<void>;
}

/** Restores records without a prototype, which JSON does not keep. */
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
 *
 * @param options clock, store, peers and log
 * @returns the service
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
  let inEffect: { root: ConfigurationRoot; configuration: Configuration } | null = null;
  let lastDocument: StoredDocument | null = null;
  let refreshing: Promise<void> | null = null;
  let background: Promise<void> = Promise.resolve();

  function revision(): number {
    return inEffect?.configuration.revision ?? 0;
  }

  /** Puts a configuration into effect; an older one or the same is passed over. */
  function install(root: ConfigurationRoot, configuration: Configuration): void {
    if (configuration.revision <= revision()) return;
    assertInvariant(
      configuration.revision > revision() && configuration.revision === root.revision,
      'configuration-never-reverts',
      () => `revision ${configuration.revision} after ${revision()}`,
    );
    inEffect = { root, configuration };
    freshness.hear(configuration.revision);
    counters.gauge('configuration.revision', configuration.revision);
    log.info('configuration in effect', {
      revision: configuration.revision,
      changedBy: root.changedBy,
      changedSections: root.changedSections,
    });
    listeners.forEach((listener) => listener(configuration));
  }

  function settleAnnouncements(): void {
    if (inEffect)
      keyring.liftSettledRevocations(inEffect.configuration, freshness.confirmedAt(revision()));
  }

  async function readFromStore(): Promise<boolean> {
    const startedAt = clock.monotonicMilliseconds();
    const reading = await configurationStore.readSnapshot(POLL_READ_MILLISECONDS);
    if (reading.isErr()) {
      counters.increment('configuration.read-failed', 1, { kind: reading.error.kind });
      if (reading.error.kind === 'invalid') {
        log.error('stored configuration not usable', { message: reading.error.message });
      }
      return false;
    }
    const { root, configuration, document } = reading.value;
    if (root.revision < revision()) {
      log.error('stored configuration is older than the one in effect', {
        stored: root.revision,
        inEffect: revision(),
      });
      return false;
    }
    const { changedBy, changedAt } = root;
    lastDocument = { revision: root.revision, sections: document, changedBy, changedAt };
    if (configuration) install(root, configuration);
    freshness.confirm(startedAt);
    return true;
  }

  /** During an outage: a starting daemon needs a majority, a running one a peer that reported a newer revision. */
  async function readFromPeers(): Promise<void> {
    const isBehind = freshness.newestHeard() > revision();
    if (inEffect && !isBehind) return;
    const answer: PeerConfiguration | null = inEffect
      ? await peers.readAtLeast(freshness.newestHeard())
      : await peers.readFromMajority();
    if (answer) install(answer.root, withoutPrototypes(answer.configuration));
  }

  async function refreshOnce(): Promise<void> {
    const isRead = await readFromStore();
    if (!isRead) await readFromPeers();
    settleAnnouncements();
  }

  function refresh(): Promise<void> {
    refreshing ??= refreshOnce().finally(() => {
      refreshing = null;
    });
    return refreshing;
  }

  async function catchUpTo(wanted: number): Promise<void> {
    freshness.hear(wanted);
    for (let attempt = 0; attempt < CATCH_UP_ATTEMPTS && revision() < wanted; attempt += 1) {
      await refresh();
    }
  }

  function enforceRevocations(revokedKeys: readonly string[], from: string): void {
    const added = keyring.announceRevocations(revokedKeys);
    if (added.length > 0) peers.relay(added, from);
  }

  const changer = createConfigurationChanger({
    clock,
    daemonId: membership.selfId,
    configurationStore,
    audit: auditTrail,
    rootWriter,
    announce(revokedKeys) {
      keyring.announceRevocations(revokedKeys);
      return peers.announce(revokedKeys);
    },
  });

  /** Deletes what the change replaced; once per page of the audit trail also what unfinished changes left. */
  async function removeReplaced(change: WrittenChange): Promise<void> {
    await configurationStore.deleteSections(change.replacedSections);
    await auditTrail.trim(change.root);
    if (change.root.revision % AUDIT_ENTRIES_PER_PAGE === 0)
      await configurationStore.sweepSections();
  }

  async function spread(change: WrittenChange): Promise<ChangeOutcome> {
    if (change.configuration) install(change.root, change.configuration);
    const notConfirmedBy = await peers.notify(change.root.revision);
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

  const polling = createPolling({
    clock,
    membership,
    isBehind: () => freshness.newestHeard() > revision(),
    confirmedAt: () => freshness.confirmedAt(revision()),
    onTick: settleAnnouncements,
    refresh,
  });

  link.handle('configuration.announce', async (params, context) => {
    enforceRevocations(params.revokedKeys, context.from);
    return Ok({});
  });
  link.handle('configuration.changed', async (params) => {
    await catchUpTo(params.revision);
    return Ok({ revision: revision() });
  });
  link.handle('configuration.read', async () =>
    Ok({ root: inEffect?.root ?? null, configuration: inEffect?.configuration ?? null }),
  );

  return {
    current: () => inEffect?.configuration ?? null,
    isFresh: () => freshness.isFresh(revision()),
    onChange(listener) {
      listeners.push(listener);
    },
    authenticate(keyText) {
      if (!inEffect || !freshness.isFresh(revision())) {
        return Err(createFailure('configuration-not-fresh'));
      }
      return keyring.authenticate(keyText, inEffect.configuration);
    },
    heartbeatFacts() {
      const age = clock.monotonicMilliseconds() - freshness.ownConfirmedAt();
      return {
        configurationRevision: revision(),
        // JSON has no infinity.
        freshnessAgeMilliseconds: Number.isFinite(age) ? Math.ceil(age) : Number.MAX_SAFE_INTEGER,
      };
    },
    async start() {
      await refresh();
      polling.start();
    },
    stop: () => polling.stop(),
    refresh,
    async readDocument() {
      const reading = await configurationStore.readSnapshot();
      if (reading.isErr()) {
        return lastDocument ? Ok(lastDocument) : Err(describeReadError(reading.error));
      }
      const { root, document } = reading.value;
      const { changedBy, changedAt } = root;
      return Ok({ revision: root.revision, sections: document, changedBy, changedAt });
    },
    async check(operator, edit) {
      const reading = await configurationStore.readSnapshot();
      if (reading.isErr()) return Err(describeReadError(reading.error));
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
      const outcome = await spread(written.value);
      background = background.then(() => removeReplaced(written.value));
      return Ok(outcome);
    },
    record: (operation) => changer.record(operation),
    history: () => readAudit(HISTORY_LENGTH, isConfigurationChange),
    audit: (limit) => readAudit(limit),
    settleBackground: () => background,
  };
}
