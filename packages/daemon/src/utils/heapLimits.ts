/**
 * Keeps the young generation of the heap at its initial size. Otherwise it grows to 16 MB and more while modules are
 * loaded and shrinks only at a later full collection, so that an idle daemon exceeds its memory limit of 64 MB. The
 * settings apply to modules that are loaded after this one.
 */
import { setFlagsFromString } from 'node:v8';

/** Collects the garbage of module loading soon after the start; by default that happens after 8 s or later. */
const FIRST_REDUCTION_DELAY_MILLISECONDS = 2_000;

setFlagsFromString('--semi-space-growth-factor=1');
// A single full collection: by default three in a row follow the start and take 0.2 s of processor time on the helper
// threads.
setFlagsFromString('--memory-reducer-single-gc');
setFlagsFromString(`--gc-memory-reducer-start-delay-ms=${FIRST_REDUCTION_DELAY_MILLISECONDS}`);
