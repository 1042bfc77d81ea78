// Google's TypeScript style with typescript-eslint's strictest typed rules.
// docs/STYLE.md says where the two clash and which one was taken.
import {readFileSync} from 'node:fs';
import eslint from '@eslint/js';
import tseslint from 'typescript-eslint';

// The verbs that a function may begin with stand in docs/VERBS.md, one a row.
const VERBS = [
  ...readFileSync(new URL('docs/VERBS.md', import.meta.url), 'utf8').matchAll(
    /^\| `([a-z]+)` +\|/gm,
  ),
].map((match) => match[1]);
const VERB_START = `^(${VERBS.join('|')})([A-Z0-9]|$)`;

export default tseslint.config(
  {ignores: ['**/dist/**', '**/gen/**', 'bench/out/**', 'target/**']},
  eslint.configs.recommended,
  ...tseslint.configs.strictTypeChecked,
  ...tseslint.configs.stylisticTypeChecked,
  {
    languageOptions: {
      parserOptions: {
        projectService: true,
        tsconfigRootDir: import.meta.dirname,
      },
    },
    linterOptions: {reportUnusedDisableDirectives: 'error'},
    rules: {
      curly: ['error', 'multi-line'],
      eqeqeq: 'error',
      'max-depth': ['error', 3],
      'max-lines': ['error', {max: 350, skipBlankLines: true}],
      'max-lines-per-function': [
        'error',
        {max: 60, skipBlankLines: true, skipComments: true},
      ],
      'no-restricted-syntax': [
        'error',
        {selector: 'ExportDefaultDeclaration', message: 'Export by name.'},
        {
          selector: 'PropertyDefinition > PrivateIdentifier',
          message: 'Use private.',
        },
        {
          selector: 'TSEnumDeclaration[const=true]',
          message: 'Use a plain enum.',
        },
        {
          selector: 'CallExpression[callee.property.name="forEach"]',
          message: 'Use for-of.',
        },
      ],
      '@typescript-eslint/consistent-type-imports': 'error',
      '@typescript-eslint/explicit-function-return-type': [
        'error',
        {allowExpressions: true},
      ],
      '@typescript-eslint/restrict-template-expressions': [
        'error',
        {allowNumber: true, allowBoolean: true},
      ],
      '@typescript-eslint/naming-convention': [
        'error',
        {
          selector: ['function', 'classMethod', 'typeMethod'],
          format: ['camelCase'],
          custom: {regex: VERB_START, match: true},
        },
        {selector: 'typeLike', format: ['PascalCase']},
        {
          selector: 'variable',
          modifiers: ['const', 'global'],
          types: ['string', 'number', 'boolean', 'array'],
          format: ['UPPER_CASE'],
        },
      ],
    },
  },
  {
    files: ['**/tests/**', 'bench/**', 'demo/**'],
    rules: {
      // node:test's describe and it return promises that it awaits itself.
      '@typescript-eslint/no-floating-promises': [
        'error',
        {
          allowForKnownSafeCalls: [
            {
              from: 'package',
              name: ['describe', 'it', 'test', 'after', 'before'],
              package: 'node:test',
            },
          ],
        },
      ],
      'max-lines-per-function': 'off',
    },
  },
  {
    files: ['**/*.js', '**/*.mjs'],
    ...tseslint.configs.disableTypeChecked,
    languageOptions: {
      ...tseslint.configs.disableTypeChecked.languageOptions,
      globals: {console: 'readonly', process: 'readonly', URL: 'readonly'},
    },
  },
  {
    files: ['**/*.js', '**/*.mjs'],
    rules: {'@typescript-eslint/explicit-function-return-type': 'off'},
  },
  // The linter's own file is read only by its default export.
  {files: ['eslint.config.js'], rules: {'no-restricted-syntax': 'off'}},
);
