import { Err, Ok } from '@chicorybend/common';
import type { Result } from '@chicorybend/common';
import Table from 'cli-table3';

import { callApi } from './apiClient.js';
import type { ApiRequest } from './apiClient.js';
import { EXIT_CODES } from './exitCodes.js';
import type { ExitCode } from './exitCodes.js';
import { usageProblem } from './problem.js';
import type { Problem } from './problem.js';

/** Environment variables, output and files of a client run. */
export interface ClientEnvironment {
  readonly variables: Readonly<Record<string, string | undefined>>;
  print(text: string): void;
  printError(text: string): void;
  readFile(path: string): Promise<string>;
  writeFile(path: string, text: string): Promise<void>;
}

/** Values of the flags that every command accepts. */
export interface CommonFlags {
  readonly address?: string | undefined;
  readonly token?: string | undefined;
  readonly operator?: string | undefined;
  readonly key?: string | undefined;
  readonly json?: boolean | undefined;
}

/** Access of one command run to the API and the output. */
export interface Session {
  readonly environment: ClientEnvironment;
  readonly isJson: boolean;
  /** Sends a request with the operator's name and token; without either of them, a usage problem is returned. */
  callAsOperator<Body>(request: ApiRequest): Promise<Result<Body, Problem>>;
  /** Sends a request with the key of a team, or without one if none is set. */
  callAsCaller<Body>(request: ApiRequest): Promise<Result<Body, Problem>>;
  /** Prints the value as JSON if `--json` is set, otherwise the text. */
  show(value: unknown, text: string): void;
}

/** Exit code of a command that was carried out, or the problem. */
export type CommandOutcome = Result<ExitCode, Problem>;

/** Outcome of a command that succeeded. */
export const DONE: CommandOutcome = Ok(EXIT_CODES.success);

function requireSetting(
  value: string | undefined,
  flag: string,
  variable: string,
): Result<string, Problem> {
  if (value !== undefined && value !== '') return Ok(value);
  return Err(usageProblem(`--${flag} is missing.`, `Set --${flag} or the variable ${variable}.`));
}

/** Formats rows as a text table with column titles. */
export function drawTable(
  columnTitles: readonly string[],
  rows: readonly (readonly (string | number)[])[],
): string {
  const table = new Table({
    head: [...columnTitles],
    style: { head: [], border: [], compact: true },
  });
  rows.forEach((row) => table.push([...row]));
  return table.toString();
}

/** Prints rows as a table, or with `--json` the value from which they were derived. */
export function showRows(
  session: Session,
  value: unknown,
  columnTitles: readonly string[],
  rows: readonly (readonly (string | number)[])[],
): CommandOutcome {
  session.show(value, drawTable(columnTitles, rows));
  return DONE;
}

/**
 * Formats a wall-clock time as ISO 8601 in UTC.
 *
 * @param milliseconds milliseconds since the Unix epoch
 * @throws RangeError for a time outside the range of `Date`
 */
export function formatTime(milliseconds: number): string {
  return new Date(milliseconds).toISOString();
}

/** Creates the session of a command run. Flags take precedence over environment variables. */
export function createSession(environment: ClientEnvironment, flags: CommonFlags): Session {
  const { variables } = environment;

  function resolveAddress(): Result<string, Problem> {
    const address = flags.address ?? variables.CHICORYBEND_ADDRESS;
    const baseAddress = requireSetting(address, 'address', 'CHICORYBEND_ADDRESS');
    if (baseAddress.isErr() || /^https?:\/\//.test(baseAddress.value)) return baseAddress;
    return Err(usageProblem(`--address ${baseAddress.value} must begin with http:// or https://.`));
  }

  function operatorHeaders(): Result<Readonly<Record<string, string>>, Problem> {
    const token = requireSetting(
      flags.token ?? variables.CHICORYBEND_TOKEN,
      'token',
      'CHICORYBEND_TOKEN',
    );
    const operator = requireSetting(
      flags.operator ?? variables.CHICORYBEND_OPERATOR,
      'operator',
      'CHICORYBEND_OPERATOR',
    );
    return token.andThen((secret) =>
      operator.map((name) => ({ authorization: `Bearer ${secret}`, 'x-operator': name })),
    );
  }

  function callerHeaders(): Readonly<Record<string, string>> {
    const key = flags.key ?? variables.CHICORYBEND_KEY;
    return key ? { authorization: `Bearer ${key}` } : {};
  }

  async function call<Body>(
    request: ApiRequest,
    headers: Readonly<Record<string, string>>,
  ): Promise<Result<Body, Problem>> {
    const address = resolveAddress();
    if (address.isErr()) return address;
    return callApi<Body>(address.value, {
      ...request,
      headers: { ...headers, ...request.headers },
    });
  }

  return {
    environment,
    isJson: flags.json ?? false,
    async callAsOperator<Body>(request: ApiRequest) {
      const headers = operatorHeaders();
      return headers.isErr() ? headers : call<Body>(request, headers.value);
    },
    callAsCaller: <Body>(request: ApiRequest) => call<Body>(request, callerHeaders()),
    show(value, text) {
      environment.print(flags.json ? JSON.stringify(value, null, 2) : text);
    },
  };
}
