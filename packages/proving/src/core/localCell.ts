import { randomBytes, randomInt } from 'node:crypto';
import { existsSync, mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import type { RelayDirection, RelayFault } from '@chicorybend/standins';

import type { CellPlan } from '../types/cellPlan.js';
import { DAEMON_PROGRAM } from './daemonProcess.js';
import { createLocalDaemon } from './localDaemon.js';
import type { LocalDaemon } from './localDaemon.js';
import { startPlatform } from './platform.js';
import type { Platform } from './platform.js';

/** Ends a fault and restores normal traffic. */
export type Revert = () => void;

/** Options of a local cell. */
export interface LocalCellOptions {
  readonly plan: CellPlan;
  /** Program of the daemons; the built daemon by default. */
  readonly program?: string;
  /**
   * Preferred port of the daemons' HTTP interfaces, on 127.0.0.11 and the following addresses. If absent, the cell
   * uses free ports on its own random loopback network.
   */
  readonly apiPort?: number;
  /** Additional command-line flags of each daemon. */
  readonly extraArguments?: readonly string[];
  /** Time-out for all daemons to become ready, in milliseconds; 30 s by default. */
  readonly readyLimitMilliseconds?: number;
  /** Called after the processes were started and before waiting for their readiness. */
  readonly prepare?: (cell: LocalCell) => Promise<void>;
}

/** A cell on this machine: stand-ins in this process, each daemon in its own process. */
export interface LocalCell {
  readonly plan: CellPlan;
  readonly platform: Platform;
  readonly daemons: readonly LocalDaemon[];
  /** Token of the operator "bootstrap". */
  readonly operatorToken: string;
  /** Folder with the output file of each daemon. */
  readonly outputFolder: string;
  /** Applies a fault to the link between two daemons in both directions, whichever opened the connection. */
  applyLinkFault(first: LocalDaemon, second: LocalDaemon, fault: RelayFault): Revert;
  /** Applies a fault to the data that one daemon sends to another, whichever of them opened the connection. */
  applyOneWayFault(sender: LocalDaemon, receiver: LocalDaemon, fault: RelayFault): Revert;
  /** Permanently stops forwarding on the connections now open between two daemons; new connections work. */
  silenceOpenConnections(first: LocalDaemon, second: LocalDaemon): void;
  /** Applies a fault to the connections from one daemon to the store. */
  applyStoreFault(daemon: LocalDaemon, fault: RelayFault): Revert;
  /** @returns whether all daemons became ready within the limit, in milliseconds */
  waitReady(limitMilliseconds: number): Promise<boolean>;
  /**
   * Kills all daemons and closes their relays and the stand-ins.
   *
   * @param keepsOutput whether to keep the output folder
   */
  close(keepsOutput?: boolean): Promise<void>;
}

const STAND_INS_HOST_NUMBER = 1;
const FIRST_HOST_NUMBER = 11;
/** Network of cells whose user chose the port, so that the addresses of the daemons are predictable. */
const FIXED_NETWORK = '127.0.0';
const TOKEN_BYTES = 24;
const READY_LIMIT_MILLISECONDS = 30_000;

/**
 * Chooses a random loopback network. If two cells shared a network, one could bind the port of a daemon or stand-in
 * that the other has just stopped. As both use the keys of the same examples, it would answer the other cell's calls.
 */
function chooseNetwork(): string {
  return `127.${randomInt(1, 255)}.${randomInt(0, 256)}`;
}

function createToken(): string {
  return randomBytes(TOKEN_BYTES).toString('hex');
}

/** Delays traffic between daemons in different data centres by the plan's one-way time. */
function applyLinkDelays(plan: CellPlan, daemons: readonly LocalDaemon[]): void {
  daemons.forEach((receiver) => {
    const others = daemons.filter((daemon) => daemon.dataCentre !== receiver.dataCentre);
    others.forEach((caller) => {
      const delayMilliseconds = plan.oneWayMilliseconds;
      receiver.peerRelay.addFault({ caller: caller.host }, { kind: 'delay', delayMilliseconds });
    });
  });
}

function combineReverts(reverts: readonly Revert[]): Revert {
  return () => reverts.forEach((revert) => revert());
}

function addRelayFault(
  caller: LocalDaemon,
  target: LocalDaemon,
  direction: RelayDirection | null,
  fault: RelayFault,
): Revert {
  const selector = { caller: caller.host, ...(direction ? { direction } : {}) };
  return target.peerRelay.addFault(selector, fault);
}

function createDaemons(
  options: LocalCellOptions,
  platform: Platform,
  network: string,
  operatorToken: string,
  outputFolder: string,
): Promise<LocalDaemon[]> {
  const shared = {
    storeAddress: platform.store.address,
    vmListAddress: platform.vmList.address,
    peerToken: createToken(),
    operatorToken,
    partitions: options.plan.partitions,
    outputFolder,
    program: options.program ?? DAEMON_PROGRAM,
    ...(options.apiPort === undefined ? {} : { apiPort: options.apiPort }),
    extraArguments: options.extraArguments ?? [],
  };
  return Promise.all(
    options.plan.daemons.map((daemon, index) =>
      createLocalDaemon({ ...daemon, host: `${network}.${FIRST_HOST_NUMBER + index}` }, shared),
    ),
  );
}

function createCell(
  options: LocalCellOptions,
  platform: Platform,
  daemons: readonly LocalDaemon[],
  operatorToken: string,
  outputFolder: string,
): LocalCell {
  return {
    plan: options.plan,
    platform,
    daemons,
    operatorToken,
    outputFolder,
    applyLinkFault: (first, second, fault) =>
      combineReverts([
        addRelayFault(first, second, null, fault),
        addRelayFault(second, first, null, fault),
      ]),
    applyOneWayFault: (sender, receiver, fault) =>
      combineReverts([
        addRelayFault(sender, receiver, 'to-target', fault),
        addRelayFault(receiver, sender, 'to-caller', fault),
      ]),
    silenceOpenConnections(first, second) {
      second.peerRelay.silenceOpenConnections({ caller: first.host });
      first.peerRelay.silenceOpenConnections({ caller: second.host });
    },
    applyStoreFault: (daemon, fault) => daemon.storeRelay.addFault({}, fault),
    async waitReady(limitMilliseconds) {
      const ready = await Promise.all(daemons.map((daemon) => daemon.waitReady(limitMilliseconds)));
      return ready.every(Boolean);
    },
    async close(keepsOutput = false) {
      await Promise.all(daemons.map((daemon) => daemon.close()));
      await platform.close();
      if (!keepsOutput) rmSync(outputFolder, { recursive: true, force: true });
    },
  };
}

/** Starts the daemons and waits until all are ready. */
async function startDaemons(cell: LocalCell, options: LocalCellOptions): Promise<void> {
  cell.daemons.forEach((daemon) => daemon.start());
  await options.prepare?.(cell);
  await cell.waitReady(options.readyLimitMilliseconds ?? READY_LIMIT_MILLISECONDS);
  const states = await Promise.all(cell.daemons.map((daemon) => daemon.isReady()));
  const notReadyIds = cell.daemons.filter((_, index) => !states[index]).map((daemon) => daemon.id);
  if (notReadyIds.length === 0) return;
  throw new Error(
    `daemons ${notReadyIds.join(', ')} did not become ready; see ${cell.outputFolder}`,
  );
}

/**
 * Starts a local cell and waits until all its daemons are ready.
 *
 * @throws Error if the program does not exist or a daemon is not ready in time, and what `options.prepare` throws; the
 * started cell is then closed, and the output folder kept
 */
export async function startLocalCell(options: LocalCellOptions): Promise<LocalCell> {
  const program = options.program ?? DAEMON_PROGRAM;
  if (!existsSync(program)) throw new Error(`program of the daemon not found: ${program}`);
  const network = options.apiPort === undefined ? chooseNetwork() : FIXED_NETWORK;
  const platform = await startPlatform(options.plan, `${network}.${STAND_INS_HOST_NUMBER}`);
  const operatorToken = createToken();
  const outputFolder = mkdtempSync(join(tmpdir(), 'chicorybend-cell-'));
  const daemons = await createDaemons(options, platform, network, operatorToken, outputFolder);
  applyLinkDelays(options.plan, daemons);
  const cell = createCell(options, platform, daemons, operatorToken, outputFolder);
  try {
    await startDaemons(cell, options);
    return cell;
  } catch (error) {
    await cell.close(true);
    throw error;
  }
}
