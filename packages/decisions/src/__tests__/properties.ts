import process from 'node:process';

const DEFAULT_SEED = 20_261_204;
const DEFAULT_RUNS = 300;

/** Parameters of all property tests; the cases are the same on every run unless the environment sets a seed. */
export const PROPERTY_PARAMETERS = {
  seed: Number(process.env.CHICORYBEND_PROPERTY_SEED ?? DEFAULT_SEED),
  numRuns: Number(process.env.CHICORYBEND_PROPERTY_RUNS ?? DEFAULT_RUNS),
};
