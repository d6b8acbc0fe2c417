import { configs, plugins, rules } from 'eslint-config-airbnb-extended';
import { createTypeScriptImportResolver } from 'eslint-import-resolver-typescript';

export default [
  {
    ignores: [
      '**/dist/**',
      '**/target/**',
      '**/node_modules/**',
      'eslint.config.mjs',
      'prettier.config.mjs',
    ],
  },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.base.typescript,
  {
    files: ['**/*.ts', '**/*.mjs', '**/*.js'],
    settings: {
      'import-x/resolver-next': [
        createTypeScriptImportResolver({
          noWarnOnMultipleProjects: true,
          project: ['packages/*/tsconfig.json', 'platform/tsconfig.json'],
        }),
      ],
    },
    rules: {
      // Layout is the formatter's task.
      ...Object.fromEntries(
        Object.keys(rules.base?.stylistic?.rules ?? {}).map((rule) => [rule, 'off']),
      ),
      '@stylistic/max-len': [
        'error',
        { code: 120, ignoreStrings: true, ignoreTemplateLiterals: true, ignoreUrls: true },
      ],
      // Named exports through one entry file per package.
      'import-x/prefer-default-export': 'off',
      // Node's module loader needs the file extension.
      'import-x/extensions': 'off',
      'import-x/no-extraneous-dependencies': 'off',
      'import-x/no-rename-default': 'off',
      // The iterator rule guards against regenerator-runtime, which Node.js 20 does not need.
      'no-restricted-syntax': ['error', 'ForInStatement', 'LabeledStatement', 'WithStatement'],
      // Protocol steps run one after the other on purpose.
      'no-await-in-loop': 'off',
      'no-continue': 'off',
      '@typescript-eslint/default-param-last': 'off',
      'no-bitwise': 'off',
      // Background loops are started without waiting for them.
      'no-void': ['error', { allowAsStatement: true }],
      // State records are changed in place by the factory that owns them.
      'no-param-reassign': ['error', { props: false }],
      'no-console': 'error',
      // Functions close over state that is declared further down in the same factory.
      'no-use-before-define': 'off',
      '@typescript-eslint/no-use-before-define': [
        'error',
        { functions: false, classes: true, variables: false },
      ],
    },
  },
  {
    files: ['scripts/**', 'ava.config.js'],
    languageOptions: { globals: { URL: 'readonly', console: 'readonly', process: 'readonly' } },
  },
  {
    files: ['scripts/**', 'packages/client/src/**', 'packages/proving/src/**', '**/main.ts'],
    rules: { 'no-console': 'off', 'n/no-process-exit': 'off' },
  },
];
