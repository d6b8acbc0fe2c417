import { LOG_LEVELS } from '@chicorybend/common';
import { z } from 'zod';

const port = z.coerce.number().int().min(0).max(65_535);
const address = z.url({ protocol: /^https?$/, error: 'must be an http(s) address' });

/**
 * Settings of the daemon. Each is a flag (`--store-address`) and an environment variable
 * (`CHICORYBEND_STORE_ADDRESS`); the flag takes precedence.
 */
export const settingsSchema = z.strictObject({
  id: z
    .string()
    .regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'must be 1 to 63 lower-case letters, digits and hyphens')
    .describe('Identity of the daemon, unique in the cell'),
  dataCentre: z.string().min(1).describe('Data centre of the VM'),
  host: z.string().min(1).default('127.0.0.1').describe('IP address to listen on and to call from'),
  apiPort: port.default(0).describe('Port for callers and operators; 0 takes a free one'),
  peerPort: port.default(0).describe('Port for other daemons; 0 takes a free one'),
  apiAdvertise: address.optional().describe('Address of the HTTP interface as others reach it'),
  peerAdvertise: z
    .string()
    .regex(/^[^\s:]+:\d+$/, 'must be <address>:<port>')
    .optional()
    .describe('Address and port for other daemons as they reach it'),
  storeAddress: address.describe('Address of the platform store'),
  vmListAddress: address.describe('Address of the platform VM list'),
  peerToken: z.string().min(16).describe('Token that authenticates daemons to each other'),
  operatorToken: z
    .string()
    .min(16)
    .optional()
    .describe('Token of the operator "bootstrap", who may change every section'),
  partitions: z.coerce
    .number()
    .int()
    .min(1)
    .max(4_096)
    .default(12)
    .describe('Partitions of a new cell; ignored once the cell exists'),
  storeWritesPerSecond: z.coerce
    .number()
    .min(1)
    .default(300)
    .describe('Budget of store writes of the whole cell, per second'),
  drainDeadlineMilliseconds: z.coerce
    .number()
    .int()
    .min(0)
    .default(30_000)
    .describe('Time for a planned stop, in milliseconds'),
  statsdAddress: z
    .string()
    .regex(/^[^\s:]+:\d+$/, 'must be <address>:<port>')
    .optional()
    .describe('StatsD server for metrics'),
  logLevel: z.enum(LOG_LEVELS).default('info').describe('Lowest level of log lines'),
});

/** Validated settings of the daemon. */
export type Settings = z.infer<typeof settingsSchema>;
