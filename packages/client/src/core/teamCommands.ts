import { Err, Ok, sectionKindOf } from '@chicorybend/common';
import type {
  KeyRecord,
  QueueSettings,
  Result,
  SectionKind,
  TeamSettings,
} from '@chicorybend/common';
import type { CommandDef } from 'citty';

import { createCommand, createGroup } from './commandLine.js';
import type { CommandContext } from './commandLine.js';
import { applyEdit, formatChange, readConfiguration } from './configurationCalls.js';
import type { ChangeResponse, StoredConfiguration } from './configurationCalls.js';
import { EXIT_CODES } from './exitCodes.js';
import { nextStepFor, usageProblem } from './problem.js';
import type { Problem } from './problem.js';
import { DONE, formatTime, showRows } from './session.js';
import type { CommandOutcome, Session } from './session.js';

type Cells = readonly (string | number)[];

interface IssueKeyResponse extends ChangeResponse {
  readonly keyId: string;
  readonly key: string;
}

/** Collects the entries of all sections of a kind as section name, entry name and value. */
function collectEntries<Value>(
  configuration: StoredConfiguration,
  kind: SectionKind,
): (readonly [string, string, Value])[] {
  return Object.entries(configuration.sections)
    .filter(([section]) => sectionKindOf(section) === kind)
    .flatMap(([section, content]) =>
      Object.entries(content as Record<string, Value>).map(
        ([name, value]) => [section, name, value] as const,
      ),
    );
}

interface ListOptions<Value> {
  readonly isIncluded?: (value: Value) => boolean;
  /** Prints only the names, one per line. */
  readonly isQuiet?: boolean;
}

async function list<Value>(
  session: Session,
  kind: SectionKind,
  columnTitles: readonly string[],
  toCells: (name: string, value: Value, section: string) => Cells,
  { isIncluded = () => true, isQuiet = false }: ListOptions<Value> = {},
): Promise<CommandOutcome> {
  const configuration = await readConfiguration(session);
  if (configuration.isErr()) return configuration;
  const entries = collectEntries<Value>(configuration.value, kind).filter(([, , value]) =>
    isIncluded(value),
  );
  const entryObjects = entries.map(([section, name, value]) => ({ section, name, ...value }));
  if (!isQuiet) {
    const rows = entries.map(([section, name, value]) => toCells(name, value, section));
    return showRows(session, entryObjects, columnTitles, rows);
  }
  session.show(entryObjects, entries.map(([, name]) => name).join('\n'));
  return DONE;
}

const TEAM_NUMBER_FLAGS = {
  share: 'share',
  'task-limit': 'tasks',
  'request-limit': 'requests',
} as const;

type TeamArgs = Readonly<Partial<Record<keyof typeof TEAM_NUMBER_FLAGS, string | undefined>>>;

function parseTeamNumber(
  args: TeamArgs,
  flag: keyof typeof TEAM_NUMBER_FLAGS,
): Result<number | undefined, Problem> {
  const text = args[flag];
  if (text === undefined) return Ok(undefined);
  const value = Number(text);
  if (text !== '' && Number.isFinite(value)) return Ok(value);
  return Err(usageProblem(`--${flag} ${text} is not a number.`));
}

function editTeam(team: TeamSettings, args: TeamArgs): Result<TeamSettings, Problem> {
  const share = parseTeamNumber(args, 'share');
  if (share.isErr()) return share;
  const tasks = parseTeamNumber(args, 'task-limit');
  if (tasks.isErr()) return tasks;
  const requests = parseTeamNumber(args, 'request-limit');
  if (requests.isErr()) return requests;
  const { limits } = team;
  return Ok({
    ...team,
    share: share.value ?? team.share,
    limits: {
      ...limits,
      tasks: tasks.value ?? limits.tasks,
      requests: requests.value ?? limits.requests,
    },
  });
}

function unknownTeamProblem(name: string): Problem {
  return {
    exitCode: EXIT_CODES.refused,
    message: `There is no team ${name}.`,
    details: [],
    nextStep: nextStepFor('unknown-team', false),
  };
}

/** Bases the change on the revision that it read, so that no concurrent change of another operator is overwritten. */
async function setTeam(session: Session, name: string, args: TeamArgs): Promise<CommandOutcome> {
  if (Object.keys(TEAM_NUMBER_FLAGS).every((flag) => args[flag as keyof TeamArgs] === undefined)) {
    return Err(usageProblem('Give at least one of --share, --task-limit and --request-limit.'));
  }
  const configuration = await readConfiguration(session);
  if (configuration.isErr()) return configuration;
  const { revision, sections } = configuration.value;
  const entry = collectEntries<TeamSettings>(configuration.value, 'teams').find(
    ([, team]) => team === name,
  );
  if (!entry) return Err(unknownTeamProblem(name));
  const [section, , team] = entry;
  const edited = editTeam(team, args);
  if (edited.isErr()) return edited;
  const content = { ...(sections[section] as object), [name]: edited.value };
  return applyEdit(session, { baseRevision: revision, sections: { [section]: content } });
}

/** @returns group `teams` */
export function createTeamCommands(context: CommandContext): CommandDef {
  return createGroup('teams', 'Teams, their shares and upper limits', {
    set: createCommand(context, {
      name: 'set',
      description: "Change a team's share or upper limits; what is not given stays as it is",
      args: {
        team: { type: 'positional', description: 'Team', required: true },
        share: { type: 'string', description: 'Weight when the cell is full' },
        'task-limit': { type: 'string', description: 'Most tasks that run at once' },
        'request-limit': { type: 'string', description: 'Most requests in flight at once' },
      },
      examples: [
        'chicorybend teams set harbour --share 3',
        'chicorybend teams set harbour --task-limit 40 --request-limit 20',
      ],
      run: (session, args) => setTeam(session, args.team, args),
    }),
    list: createCommand(context, {
      name: 'list',
      description: 'List the teams',
      examples: ['chicorybend teams list'],
      run: (session) =>
        list<TeamSettings>(
          session,
          'teams',
          ['team', 'share', 'task limit', 'request limit'],
          (name, team) => [name, team.share, team.limits.tasks, team.limits.requests],
        ),
    }),
  });
}

/** @returns group `queues` */
export function createQueueCommands(context: CommandContext): CommandDef {
  return createGroup('queues', 'Queues that accept work', {
    list: createCommand(context, {
      name: 'list',
      description: 'List the queues',
      examples: ['chicorybend queues list'],
      run: (session) =>
        list<QueueSettings>(
          session,
          'queues',
          ['queue', 'kind', 'access', 'teams', 'priority', 'section'],
          (name, queue, section) => [
            name,
            queue.kind,
            queue.access,
            queue.team ?? queue.teams?.join(', ') ?? 'all',
            queue.priority ?? 'normal',
            section,
          ],
        ),
    }),
  });
}

async function issueKey(
  session: Session,
  team: string,
  section: string | undefined,
  isQuiet: boolean,
): Promise<CommandOutcome> {
  if (section !== undefined && sectionKindOf(section) !== 'keys') {
    return Err(usageProblem('--section must be keys or keys/<group>.'));
  }
  const response = await session.callAsOperator<IssueKeyResponse>({
    method: 'POST',
    path: `/v1/teams/${encodeURIComponent(team)}/keys`,
    body: section === undefined ? {} : { section },
  });
  if (response.isErr()) return response;
  const { keyId, key } = response.value;
  const text = `Key ${keyId} of team ${team}, shown only now:\n${key}\n${formatChange(response.value)}`;
  session.show(response.value, isQuiet ? key : text);
  return DONE;
}

async function revokeKey(session: Session, keyId: string): Promise<CommandOutcome> {
  const response = await session.callAsOperator<ChangeResponse>({
    method: 'DELETE',
    path: `/v1/keys/${encodeURIComponent(keyId)}`,
  });
  if (response.isErr()) return response;
  session.show(response.value, `Key ${keyId} is revoked. ${formatChange(response.value)}`);
  return DONE;
}

/** @returns group `keys` */
export function createKeyCommands(context: CommandContext): CommandDef {
  return createGroup('keys', "Teams' keys", {
    issue: createCommand(context, {
      name: 'issue',
      description: 'Issue a key to a team; its text is shown once',
      args: {
        team: { type: 'positional', description: 'Team', required: true },
        section: { type: 'string', description: 'Section for the key: keys or keys/<group>' },
        quiet: { type: 'boolean', description: 'Print only the text of the key' },
      },
      examples: [
        'chicorybend keys issue harbour',
        'chicorybend keys issue harbour --quiet',
        'chicorybend keys issue harbour --section keys/harbour',
      ],
      run: (session, args) => issueKey(session, args.team, args.section, args.quiet ?? false),
    }),
    list: createCommand(context, {
      name: 'list',
      description: 'List the keys',
      args: {
        team: { type: 'string', description: 'Only keys of this team' },
        quiet: { type: 'boolean', description: 'Print only the ids of the keys' },
      },
      examples: [
        'chicorybend keys list',
        'chicorybend keys list --team harbour',
        'chicorybend keys list --team harbour --quiet',
      ],
      run: (session, args) =>
        list<KeyRecord>(
          session,
          'keys',
          ['key', 'team', 'issued', 'by', 'revoked', 'section'],
          (name, key, section) => [
            name,
            key.team,
            formatTime(key.issuedAt),
            key.issuedBy,
            key.revokedAt === undefined ? '-' : formatTime(key.revokedAt),
            section,
          ],
          {
            isIncluded: (key) => args.team === undefined || key.team === args.team,
            isQuiet: args.quiet ?? false,
          },
        ),
    }),
    revoke: createCommand(context, {
      name: 'revoke',
      alias: 'withdraw',
      description: 'Revoke a key; it stops working on all daemons',
      args: { id: { type: 'positional', description: 'Key id', required: true } },
      examples: ['chicorybend keys revoke 4f2a91c0d3e7'],
      run: (session, args) => revokeKey(session, args.id),
    }),
  });
}
