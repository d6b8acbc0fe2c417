import { z } from 'zod';

const MAXIMUM_NAME_LENGTH = 63;

/** Name of a team, queue, section or operator. */
export const nameSchema = z
  .string()
  .max(MAXIMUM_NAME_LENGTH)
  .regex(/^[a-z0-9][a-z0-9-]*$/, 'must be lower-case letters, digits and hyphens');

const digestSchema = z.string().regex(/^[0-9a-f]{64}$/, 'must be a SHA-256 in hexadecimal');

/** Section `cell`: settings of the whole cell. */
export const cellSectionSchema = z.strictObject({
  name: nameSchema,
  /** Longest deadline of an interactive request, in milliseconds. */
  maximumRequestMilliseconds: z.int().min(100).max(10_000).default(10_000),
  /** Longest queue of interactive requests per team and partition. */
  maximumQueuedRequests: z.int().min(1).max(100_000).default(256),
});

/** Section `policy`: scheduling order. */
export const policySectionSchema = z.strictObject({
  order: z.enum(['waiting-time-first', 'share-first']),
  /** Longest time that tasks of other teams may overtake a waiting task, in milliseconds. */
  agingMilliseconds: z.int().min(1_000).default(60_000),
});

/** Section `operators`: who may change which sections. */
export const operatorsSectionSchema = z.record(
  nameSchema,
  z.strictObject({
    /** SHA-256 of the operator's token. */
    tokenHash: digestSchema,
    /** Sections that the operator may change; `*` stands for all. */
    sections: z.array(z.string().min(1)),
  }),
);

/** Section `teams`: shares and upper limits. */
export const teamsSectionSchema = z.record(
  nameSchema,
  z.strictObject({
    /** Relative weight of the team when demand exceeds the capacity. */
    share: z.number().positive(),
    /** Upper limits across the fleet. */
    limits: z.strictObject({
      /** Tasks running at once. */
      tasks: z.int().min(0),
      /** Interactive requests running at once. */
      requests: z.int().min(0),
    }),
  }),
);

/** Section `queues` or `queues/<group>`: queues that callers submit jobs and requests to. */
export const queuesSectionSchema = z.record(
  nameSchema,
  z.strictObject({
    kind: z.enum(['interactive', 'batch', 'gang', 'service']),
    /** An `open` queue accepts work without a key and charges it to `team`. */
    access: z.enum(['keyed', 'open']),
    /** Teams that may use a keyed queue; absent means all. */
    teams: z.array(nameSchema).optional(),
    /** Team that an open queue charges. */
    team: nameSchema.optional(),
    /** Priority among the queues of a team. */
    priority: z.enum(['urgent', 'normal', 'overnight']).default('normal'),
  }),
);

/** Section `keys` or `keys/<group>`: keys of teams, by key id. */
export const keysSectionSchema = z.record(
  nameSchema,
  z.strictObject({
    team: nameSchema,
    /** SHA-256 of the key's secret. */
    secretHash: digestSchema,
    /** Wall-clock time in milliseconds since the Unix epoch. */
    issuedAt: z.int(),
    issuedBy: nameSchema,
    /** Wall-clock time in milliseconds since the Unix epoch, once revoked. */
    revokedAt: z.int().optional(),
  }),
);

/** Content of section `cell`. */
export type CellSection = z.infer<typeof cellSectionSchema>;
/** Content of section `policy`. */
export type PolicySection = z.infer<typeof policySectionSchema>;
/** Content of section `operators`. */
export type OperatorsSection = z.infer<typeof operatorsSectionSchema>;
/** Content of section `teams`. */
export type TeamsSection = z.infer<typeof teamsSectionSchema>;
/** Content of section `queues`. */
export type QueuesSection = z.infer<typeof queuesSectionSchema>;
/** Content of section `keys`. */
export type KeysSection = z.infer<typeof keysSectionSchema>;
/** Settings of one team. */
export type TeamSettings = TeamsSection[string];
/** Settings of one queue. */
export type QueueSettings = QueuesSection[string];
/** A key as stored: the hash of its secret, not the secret. */
export type KeyRecord = KeysSection[string];

/** Configuration of one revision, with all sections merged. */
export interface Configuration {
  readonly revision: number;
  readonly cell: CellSection;
  readonly policy: PolicySection;
  readonly operators: OperatorsSection;
  readonly teams: TeamsSection;
  /** All sections `queues` and `queues/<group>`. */
  readonly queues: QueuesSection;
  /** All sections `keys` and `keys/<group>`. */
  readonly keys: KeysSection;
}

/** Configuration document as operators write it: section name to unvalidated content. */
export type ConfigurationDocument = Readonly<Record<string, unknown>>;

/** Value of the store key `configuration/root`. */
export interface ConfigurationRoot {
  readonly revision: number;
  /** Section name to the SHA-256 of its content. */
  readonly sections: Readonly<Record<string, string>>;
  readonly changedBy: string;
  /** Wall-clock time in milliseconds since the Unix epoch. */
  readonly changedAt: number;
  /** Sections that this revision changed. */
  readonly changedSections: readonly string[];
  /** Section name to the revision and author that changed it last. */
  readonly lastChanges: Readonly<Record<string, { revision: number; changedBy: string }>>;
}
