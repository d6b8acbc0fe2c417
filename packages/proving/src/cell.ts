import { defineCommand, runMain } from 'citty';

import { runCell } from './core/cellRun.js';
import { EXAMPLE_NAMES, readExample } from './utils/readExample.js';

const LARGEST_PORT = 65_535;

function readPort(text: string): number {
  const port = Number(text);
  if (/^\d+$/.test(text) && port <= LARGEST_PORT) return port;
  console.error(`--api-port must be a whole number from 0 to ${LARGEST_PORT}`);
  return process.exit(2);
}

/** Runs a local cell with the configuration of an example until Ctrl-C or SIGTERM. */
const command = defineCommand({
  meta: { name: 'cell', description: 'Runs a local cell until Ctrl-C' },
  args: {
    example: {
      type: 'enum',
      options: [...EXAMPLE_NAMES],
      default: 'coldline',
      description: 'Folder under examples/',
    },
    'api-port': {
      type: 'string',
      default: '8080',
      description: 'API port of the daemons; 0 or a port that is in use selects free ports',
    },
  },
  async run({ args }) {
    const apiPort = readPort(args['api-port']);
    const stopped = new Promise<void>((resolve) => {
      process.on('SIGINT', () => resolve());
      process.on('SIGTERM', () => resolve());
    });
    await runCell({
      example: readExample(args.example),
      apiPort,
      stopped,
      report: (line) => console.log(line),
    });
    process.exit(0);
  },
});

await runMain(command);
