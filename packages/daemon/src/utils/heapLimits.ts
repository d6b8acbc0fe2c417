/**
 * Keeps the young generation of the heap at its initial size. It grows to 16 MB and more while modules are loaded
 * and shrinks only with a later full collection, which takes an idle daemon past the 64 MB that control may use.
 * The limits hold for the modules that are loaded afterwards.
 */
import { setFlagsFromString } from 'node:v8';

/** What is left over from loading the modules is collected soon, and not 8 s after the start or later. */
const FIRST_REDUCTION_DELAY_MILLISECONDS = 2_000;

setFlagsFromString('--semi-space-growth-factor=1');
// Three full collections in a row after the start take 0.2 s of processor time on the helper threads.
setFlagsFromString('--memory-reducer-single-gc');
setFlagsFromString(`--gc-memory-reducer-start-delay-ms=${FIRST_REDUCTION_DELAY_MILLISECONDS}`);
