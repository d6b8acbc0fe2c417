/** Producers of benchmark rows of this package. */
export { collectCapacityRows } from './capacityRows.js';
export { collectJournalRows } from './journalRows.js';
