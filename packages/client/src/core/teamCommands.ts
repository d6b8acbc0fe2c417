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

/** Collects the entries of all sections of a kind, with the section's name. */
function collectEntries<Value>(
  stored: StoredConfiguration,
  kind: SectionKind,
): (readonly [string, string, Value])[] {
  return Object.entries(stored.sections)
    .filter(([section]) => sectionKindOf(section) === kind)
    .flatMap(([section, content]) =>
      Object.entries(content as Record<string, Value>).map(
        ([name, value]) => [section, name, value] as const,
      ),
    );
}

interface ListOptions<Value> {
  readonly isIncluded?: (value: Value) => boolean;
  /** Prints only the names, one on each line. */
  readonly isQuiet?: boolean;
}

async function list<Value>(
  session: Session,
  kind: SectionKind,
  head: readonly string[],
  toCells: (name: string, value: Value, section: string) => Cells,
  { isIncluded: isWanted = () => true, isQuiet = false }: ListOptions<Value> = {},
): Promise<CommandOutcome> {
  const stored = await readConfiguration(session);
  if (stored.isErr()) return stored;
  const entries = collectEntries<Value>(stored.value, kind).filter(([, , value]) =>
    isWanted(value),
  );
  const described = entries.map(([section, name, value]) => ({ section, name, ...value }));
  if (!isQuiet) {
    const rows = entries.map(([section, name, value]) => toCells(name, value, section));
    return showRows(session, described, head, rows);
  }
  session.show(described, entries.map(([, name]) => name).join('\n'));
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

/** The change is based on the revision that was read, so that no other operator's change is lost. */
async function setTeam(session: Session, name: string, args: TeamArgs): Promise<CommandOutcome> {
  if (Object.keys(TEAM_NUMBER_FLAGS).every((flag) => args[flag as keyof TeamArgs] === undefined)) {
    return Err(usageProblem('Give at least one of --share, --task-limit and --request-limit.'));
  }
  const stored = await readConfiguration(session);
  if (stored.isErr()) return stored;
  const { revision, sections } = stored.value;
  const found = collectEntries<TeamSettings>(stored.value, 'teams').find(
    ([, team]) => team === name,
  );
  if (!found) return Err(unknownTeamProblem(name));
  const [section, , team] = found;
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
  const answer = await session.callAsOperator<IssueKeyResponse>({
    method: 'POST',
    path: `/v1/teams/${encodeURIComponent(team)}/keys`,
    body: section === undefined ? {} : { section },
  });
  if (answer.isErr()) return answer;
  const { keyId, key } = answer.value;
  const text = `Key ${keyId} of team ${team}, shown only now:\n${key}\n${formatChange(answer.value)}`;
  session.show(answer.value, isQuiet ? key : text);
  return DONE;
}

async function revokeKey(session: Session, keyId: string): Promise<CommandOutcome> {
  const answer = await session.callAsOperator<ChangeResponse>({
    method: 'DELETE',
    path: `/v1/keys/${encodeURIComponent(keyId)}`,
  });
  if (answer.isErr()) return answer;
  session.show(answer.value, `Key ${keyId} is revoked. ${formatChange(answer.value)}`);
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
