import { readdirSync } from 'node:fs';
import { join } from 'node:path';
import { configs, plugins, rules } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier/flat';
import { functionVerbs } from './tools/eslint-rules/function-verbs.mjs';
import { noUnhandledResult } from './tools/eslint-rules/no-unhandled-result.mjs';
import { oneExport } from './tools/eslint-rules/one-export.mjs';

const verbPattern = `^(${functionVerbs.join('|')})([A-Z0-9]|$)`;

/** Each package lists its own siblings; libraries stand once, in the root's package.json. */
const workspaces = [
  ...readdirSync(join(import.meta.dirname, 'packages')).map((name) => `packages/${name}`),
  'platform',
];
const dependencyRules = workspaces.map((workspace) => ({
  files: [`${workspace}/**/*.ts`],
  rules: {
    'import-x/no-extraneous-dependencies': [
      'error',
      { packageDir: [import.meta.dirname, join(import.meta.dirname, workspace)] },
    ],
  },
}));

export default [
  {
    ignores: [
      'eslint.config.mjs',
      'tools/**',
      '**/dist/**',
      'target/**',
      '**/node_modules/**',
      'packages/protocol/src/gen/**',
      '*.js',
    ],
  },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.base.typescript,
  rules.typescript.typescriptEslintStrict,
  // The formatter decides on layout; these are the guide's layout rules that it overlaps.
  prettier,
  {
    files: ['**/*.ts'],
    languageOptions: {
      parserOptions: {
        projectService: false,
        project: [
          './tsconfig.tests.json',
          './packages/*/tsconfig.json',
          './platform/tsconfig.json',
        ],
        tsconfigRootDir: import.meta.dirname,
      },
    },
    plugins: {
      local: { rules: { 'one-export': oneExport, 'no-unhandled-result': noUnhandledResult } },
    },
    rules: {
      'local/one-export': 'error',
      'local/no-unhandled-result': 'error',
      '@typescript-eslint/switch-exhaustiveness-check': [
        'error',
        { considerDefaultExhaustiveForUnions: true },
      ],
      'no-underscore-dangle': ['error', { allow: ['_unsafeUnwrap', '_unsafeUnwrapErr'] }],
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/naming-convention': [
        'error',
        {
          selector: 'function',
          format: ['camelCase'],
          custom: { regex: verbPattern, match: true },
        },
        {
          selector: 'classMethod',
          format: ['camelCase'],
          custom: { regex: verbPattern, match: true },
        },
        { selector: 'typeLike', format: ['PascalCase'] },
      ],
      // One named export a file is the house style; the brief's list goes before the guide.
      'import-x/prefer-default-export': 'off',
      // The objects that a class owns are its state; parameters themselves stay as they are.
      'no-param-reassign': ['error', { props: false }],
      // Indexing under noUncheckedIndexedAccess asserts what the line above has established.
      '@typescript-eslint/no-non-null-assertion': 'off',
      // Methods that pass a promise on need no wrapper around it.
      '@typescript-eslint/promise-function-async': 'off',
      // Methods in interfaces read like the classes that implement them.
      '@typescript-eslint/method-signature-style': 'off',
      // The types of settings and schemas are inferred from their definitions.
      '@typescript-eslint/explicit-module-boundary-types': 'off',
      // `void` marks a promise that never rejects and that nobody waits for.
      'no-void': ['error', { allowAsStatement: true }],
      // The guide bars for-of for the sake of old engines; Node has it, and `await` needs it.
      'no-restricted-syntax': ['error', 'ForInStatement', 'LabeledStatement', 'WithStatement'],
      // Plug-ins register themselves by being imported.
      'import-x/no-unassigned-import': 'off',
    },
  },
  ...dependencyRules,
  {
    files: ['packages/*/tests/**/*.ts', 'platform/tests/**/*.ts'],
    rules: { 'class-methods-use-this': 'off' },
  },
];
