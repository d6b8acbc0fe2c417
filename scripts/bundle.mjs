// Bundles the daemon for the platform into one file, which starts faster than separate modules. An argument names
// another file than the usual one.
import { build } from 'esbuild';
import { fileURLToPath } from 'node:url';

const ROOT = fileURLToPath(new URL('..', import.meta.url));
const SOURCES = ['common', 'decisions', 'scheduler'];

await build({
  absWorkingDir: ROOT,
  entryPoints: ['platform/src/main.ts'],
  outfile: process.argv[2] ?? 'target/chicorybendd.mjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  // Each VM keeps the text of the file in memory; names stay, so that stack traces can be read.
  minifySyntax: true,
  minifyWhitespace: true,
  legalComments: 'none',
  alias: Object.fromEntries(
    SOURCES.map((name) => [`@chicorybend/${name}`, `./packages/${name}/src/index.ts`]),
  ),
  // Bundled CommonJS packages call require, which ES modules do not define.
  banner: {
    js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);",
  },
});
