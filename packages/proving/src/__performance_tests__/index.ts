/** Producers of benchmark rows of this package. */
export { produceStoreClientRows } from './storeClient.js';
