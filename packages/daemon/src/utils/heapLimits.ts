/**
 * Keeps the young generation of the heap at its initial size. It grows to 16 MB and more while modules are loaded
 * and shrinks only with a later full collection, which takes an idle daemon past the 64 MB that control may use.
 * The limits hold for the modules that are loaded afterwards.
 */
import { setFlagsFromString } from 'node:v8';

setFlagsFromString('--semi-space-growth-factor=1');
// Three full collections in a row after the start take 0.2 s of processor time on the helper threads.
setFlagsFromString('--memory-reducer-single-gc');
