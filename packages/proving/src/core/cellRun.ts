import type { Example } from '../types/cellPlan.js';
import { applyExample } from './demoRun.js';
import { startLocalCell } from './localCell.js';
import type { LocalCell } from './localCell.js';

/** Options of a cell that runs until it is stopped. */
export interface CellRunOptions {
  readonly example: Example;
  /** Preferred port of the daemons' HTTP interfaces; free ones if it is 0 or taken. */
  readonly apiPort: number;
  /** Program of the daemons; the built daemon by default. */
  readonly program?: string;
  /** Resolves when the cell is to be shut down. */
  readonly stopped: Promise<void>;
  /** Receives one line of progress output at a time. */
  readonly report: (line: string) => void;
}

function reportDaemons(cell: LocalCell, report: (line: string) => void): void {
  cell.daemons.forEach(({ id, dataCentre, apiAddress }) =>
    report(`${id} in ${dataCentre}: ${apiAddress}`),
  );
  report(`output of the daemons until the cell ends: ${cell.outputFolder}`);
}

/** Reports the client's settings as shell commands. */
function reportSettings(cell: LocalCell, report: (line: string) => void): void {
  report('settings of the client, to paste into another terminal:');
  report(`export CHICORYBEND_ADDRESS=${cell.daemons[0]?.apiAddress ?? ''}`);
  report('export CHICORYBEND_OPERATOR=bootstrap');
  report(`export CHICORYBEND_TOKEN=${cell.operatorToken}`);
}

/**
 * Starts a local cell with the configuration of an example, runs it until `options.stopped` resolves, then shuts down
 * its daemons and stand-ins.
 *
 * @throws if a daemon does not become ready or the configuration is not applied in time
 */
export async function runCell(options: CellRunOptions): Promise<void> {
  const { example, apiPort, program, stopped, report } = options;
  report(`starting a cell of ${example.plan.daemons.length} daemons`);
  const cell = await startLocalCell({
    plan: example.plan,
    apiPort,
    ...(program === undefined ? {} : { program }),
    prepare: (started) => applyExample(started, example),
  });
  reportDaemons(cell, report);
  reportSettings(cell, report);
  report('the cell runs until Ctrl-C');
  await stopped;
  report('ending the cell');
  await cell.close();
}
