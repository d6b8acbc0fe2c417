/** Producers of benchmark rows of this package. */
export { collectDecisionRows } from './decisionRows.js';
