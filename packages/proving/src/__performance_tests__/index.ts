/** Benchmark row producers of this package. */
export { collectCellRows } from './cellRows.js';
export { collectSlopeRows } from './slopeRows.js';
export { collectTrafficRows } from './trafficRows.js';
export { produceStoreClientRows } from './storeClient.js';
export { collectStoreCallRows } from './storeCallRows.js';
