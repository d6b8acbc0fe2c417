/** Stand-ins for the platform, workers and endpoints. For tests, the demo and benchmarks only. */

/** The platform's key-value service. */
export { startStoreStandIn } from './core/storeStandIn.js';
export type {
  StoreCallCounts,
  StoreFaults,
  StoreStandIn,
  StoreStandInOptions,
} from './core/storeStandIn.js';
