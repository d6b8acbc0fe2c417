/** Producers of benchmark rows of this package. */
export { collectCellRows } from './cellRows.js';
export { produceStoreClientRows } from './storeClient.js';
