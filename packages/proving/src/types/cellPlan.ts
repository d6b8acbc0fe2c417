import { z } from 'zod';

import type { ConfigurationDocument } from '@chicorybend/common';

const name = z.string().min(1);

/** Content of an example's `cell.json`. */
export const cellPlanSchema = z.strictObject({
  name,
  partitions: z.int().min(1),
  dataCentres: z.array(name).min(1),
  /** One-way network latency between two data centres, in milliseconds. */
  oneWayMilliseconds: z.number().min(0),
  /** Entry VMs, each with one daemon. */
  daemons: z.array(z.strictObject({ id: name, dataCentre: name })).min(1),
  workerCapacity: z.strictObject({
    processors: z.number().positive(),
    memoryBytes: z.number().positive(),
    accelerators: z.int().min(0),
  }),
  racks: z.array(z.strictObject({ name, dataCentre: name, workers: z.array(name) })),
  endpointSlots: z.int().min(1),
  endpointConnections: z.int().min(1),
  endpoints: z.array(z.strictObject({ id: name, dataCentre: name, rack: name })),
});

/** Daemons, workers, endpoints and network of a local cell. */
export type CellPlan = z.infer<typeof cellPlanSchema>;

/** Content of an example's `sample-keys.json`. */
export const sampleKeysSchema = z.strictObject({
  /** Tokens by operator name. */
  operators: z.record(z.string(), z.string()),
  /** Key texts by team. */
  teams: z.record(z.string(), z.string()),
});

/** Published keys and tokens of an example. */
export type SampleKeys = z.infer<typeof sampleKeysSchema>;

/** One of the folders under `examples/`. */
export interface Example {
  readonly plan: CellPlan;
  readonly configuration: ConfigurationDocument;
  readonly keys: SampleKeys;
}
