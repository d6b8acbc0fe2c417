/**
 * Limits the young generation of the heap before the program's modules are loaded. With the default of 16 MB per
 * semi-space an idle daemon grows past the 64 MB that control may use.
 */
import { setFlagsFromString } from 'node:v8';

const SEMI_SPACE_MEBIBYTES = 2;

setFlagsFromString(`--max-semi-space-size=${SEMI_SPACE_MEBIBYTES}`);
setFlagsFromString('--semi-space-growth-factor=1');
