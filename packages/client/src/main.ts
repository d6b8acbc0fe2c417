#!/usr/bin/env node
import { readFile, writeFile } from 'node:fs/promises';

import { runClient } from './core/client.js';

process.exitCode = await runClient(process.argv.slice(2), {
  variables: process.env,
  print: (text) => console.log(text),
  printError: (text) => console.error(text),
  readFile: (path) => readFile(path, 'utf8'),
  writeFile: (path, text) => writeFile(path, text),
});
