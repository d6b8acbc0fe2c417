import { Err, Ok } from '@chicorybend/common';
import type { Result } from '@chicorybend/common';
import Table from 'cli-table3';

import { callApi } from './apiClient.js';
import type { ApiRequest } from './apiClient.js';
import { EXIT_CODES } from './exitCodes.js';
import type { ExitCode } from './exitCodes.js';
import { usageProblem } from './problem.js';
import type { Problem } from './problem.js';

/** The world around a run of the client. */
export interface ClientEnvironment {
  readonly variables: Readonly<Record<string, string | undefined>>;
  print(text: string): void;
  printError(text: string): void;
  readFile(path: string): Promise<string>;
  writeFile(path: string, text: string): Promise<void>;
}

/** Flags that every command takes. */
export interface CommonFlags {
  readonly address?: string | undefined;
  readonly token?: string | undefined;
  readonly operator?: string | undefined;
  readonly key?: string | undefined;
  readonly json?: boolean | undefined;
}

/** One run of a command. */
export interface Session {
  readonly environment: ClientEnvironment;
  readonly isJson: boolean;
  /** Calls a route for operators. */
  callAsOperator<Body>(call: ApiRequest): Promise<Result<Body, Problem>>;
  /** Calls a route for callers, with the key if there is one. */
  callAsCaller<Body>(call: ApiRequest): Promise<Result<Body, Problem>>;
  /** Prints a value as JSON, or the text for people. */
  show(value: unknown, text: string): void;
}

/** Outcome of a command: the exit code if it was carried out, or the problem. */
export type CommandOutcome = Result<ExitCode, Problem>;

/** Outcome of a command that was carried out. */
export const DONE: CommandOutcome = Ok(EXIT_CODES.success);

function requireSetting(
  value: string | undefined,
  flag: string,
  variable: string,
): Result<string, Problem> {
  if (value !== undefined && value !== '') return Ok(value);
  return Err(usageProblem(`--${flag} is missing.`, `Set --${flag} or the variable ${variable}.`));
}

/**
 * Draws a table for people.
 *
 * @param head titles of the columns
 * @param rows cells
 * @returns text
 */
export function drawTable(
  head: readonly string[],
  rows: readonly (readonly (string | number)[])[],
): string {
  const table = new Table({ head: [...head], style: { head: [], border: [], compact: true } });
  rows.forEach((row) => table.push([...row]));
  return table.toString();
}

/**
 * Shows rows as a table, or the value that they were taken from as JSON.
 *
 * @param session run of the client
 * @param value value for programs
 * @param head titles of the columns
 * @param rows cells
 * @returns outcome of the command
 */
export function showRows(
  session: Session,
  value: unknown,
  head: readonly string[],
  rows: readonly (readonly (string | number)[])[],
): CommandOutcome {
  session.show(value, drawTable(head, rows));
  return DONE;
}

/**
 * Writes a wall-clock time for people.
 *
 * @param milliseconds wall-clock time in milliseconds since the Unix epoch
 * @returns ISO 8601 in UTC
 */
export function formatTime(milliseconds: number): string {
  return new Date(milliseconds).toISOString();
}

/**
 * Creates the session of one run.
 *
 * @param environment variables, files and output
 * @param flags flags of the command
 * @returns the session
 */
export function createSession(environment: ClientEnvironment, flags: CommonFlags): Session {
  const { variables } = environment;

  function findAddress(): Result<string, Problem> {
    const address = flags.address ?? variables.CHICORYBEND_ADDRESS;
    const found = requireSetting(address, 'address', 'CHICORYBEND_ADDRESS');
    if (found.isErr() || /^https?:\/\//.test(found.value)) return found;
    return Err(usageProblem(`--address ${found.value} must begin with http:// or https://.`));
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
    const address = findAddress();
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
