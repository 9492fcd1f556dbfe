import gts from 'gts';
import {readdirSync, readFileSync} from 'node:fs';

/** Every package, lowest first. A package imports only from those before it. */
const packageOrder = [
  'model',
  'settings',
  'intake',
  'protocol',
  'policy',
  'jobs',
  'consensus',
  'storage',
  'membership',
  'telemetry',
  'entry',
  'agent',
  'runner',
  'dispatch',
  'control',
  'cli',
  'bench',
];

const unlisted = readdirSync('packages').filter(
  name => !packageOrder.includes(name),
);
if (unlisted.length > 0) {
  throw new Error(`packages outside the dependency order: ${unlisted}`);
}

const orderRules = packageOrder.map((name, i) => ({
  files: [`packages/${name}/**/*.ts`],
  rules: {
    'no-restricted-imports': [
      'error',
      {
        patterns: [
          {
            regex: `^#(${packageOrder.slice(i + 1).join('|') || '-'})$`,
            message: `${name} may not depend on a later package`,
          },
          {
            regex: '^#.+/',
            message: 'import another package by its index only',
          },
        ],
      },
    ],
  },
}));

const verbs = new Set(
  readFileSync('CONTRIBUTING.md', 'utf8')
    .split('<!-- verbs')[1]
    .split('-->')[1]
    .split('<!--')[0]
    .trim()
    .split(/\s+/),
);

/** Reports a named function or method that does not begin with a listed verb. */
const verbFirst = {
  create(context) {
    const checkName = (node, name) => {
      const first = name.replace(/^[_#]+/, '').split(/(?=[A-Z])/)[0];
      if (verbs.has(first)) return;
      context.report({
        node,
        message: `"${name}" does not begin with a verb of CONTRIBUTING.md`,
      });
    };
    return {
      FunctionDeclaration: node => node.id && checkName(node, node.id.name),
      MethodDefinition: node => {
        if (node.kind !== 'method' || node.computed) return;
        checkName(node, node.key.name);
      },
    };
  },
};

export default [
  {ignores: ['build/**', 'dist/**', 'node_modules/**', 'report/**']},
  ...gts,
  {
    files: ['packages/**/*.ts', 'scripts/**/*.js'],
    rules: {
      'n/no-process-exit': 'off',
      'n/no-unsupported-features/node-builtins': 'off',
      'n/no-unpublished-import': 'off',
      'n/no-missing-import': 'off',
      'n/no-extraneous-import': 'off',
    },
  },
  {
    files: ['packages/**/*.ts'],
    plugins: {house: {rules: {'verb-first': verbFirst}}},
    rules: {
      'house/verb-first': 'error',
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/no-unused-vars': ['error', {argsIgnorePattern: '^_'}],
      'max-lines': ['error', {max: 400, skipBlankLines: true, skipComments: true}],
      eqeqeq: 'error',
    },
  },
  ...orderRules,
];
