/** Producers of benchmark rows of this package. */
export { collectCapacityRows } from './capacityRows.js';
export { collectDurableRows } from './durableRows.js';
export { collectInteractiveRows } from './interactiveRows.js';
export { collectJournalRows } from './journalRows.js';
