import { readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';

/** Root folder of the repository. */
export const WORKSPACE = fileURLToPath(new URL('../../../../', import.meta.url));

const SECTION_TITLE = '## A first hour for an operator';
const CODE_BLOCK = /^```sh\n(.*?)^```$/gms;

/** A command may span several lines; it is complete when its single quotes are balanced. */
function isCompleteCommand(command: string): boolean {
  return command.split("'").length % 2 === 1;
}

function splitCommands(block: string): string[] {
  const commands: string[] = [];
  let lines: string[] = [];
  block
    .trimEnd()
    .split('\n')
    .forEach((line) => {
      lines.push(line);
      if (!isCompleteCommand(lines.join('\n'))) return;
      commands.push(lines.join('\n'));
      lines = [];
    });
  return [...commands, ...(lines.length > 0 ? [lines.join('\n')] : [])];
}

/** @returns the shell commands of the README section "A first hour for an operator", verbatim and in order */
export function readFirstHourCommands(): readonly string[] {
  const text = readFileSync(`${WORKSPACE}README.md`, 'utf8');
  const section = text.slice(text.indexOf(SECTION_TITLE)).split(/\n(?=## )/)[0] ?? '';
  return [...section.matchAll(CODE_BLOCK)].flatMap(([, block = '']) => splitCommands(block));
}
