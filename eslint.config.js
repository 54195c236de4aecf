/** Lint rules, and the borders between packages: dependencies point downwards only. */
import fs from 'node:fs'
import js from '@eslint/js'
import tseslint from 'typescript-eslint'

const workspaceFolders = ['packages', 'apps']

/** Reads what each package of the workspace declares as its dependencies. */
function readPackages() {
  const folders = workspaceFolders.flatMap((folder) =>
    fs.readdirSync(folder).map((name) => `${folder}/${name}`),
  )
  return [...folders, 'platform'].map((dir) => {
    const manifest = JSON.parse(fs.readFileSync(`${dir}/package.json`, 'utf8'))
    return {
      dir,
      name: manifest.name,
      allowed: Object.keys(manifest.dependencies),
    }
  })
}

const packages = readPackages()

/** A package may import what its manifest declares, through the front door only. */
function borderRule({ dir, name, allowed }) {
  const forbidden = packages.filter((other) => other.name !== name && !allowed.includes(other.name))
  return {
    files: [`${dir}/src/**/*.ts`],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          paths: forbidden.map((other) => ({
            name: other.name,
            message: `${name} does not declare ${other.name} as a dependency.`,
          })),
          patterns: [
            { group: ['@cherryhitch/*/*'], message: 'Import a package through its index only.' },
            { group: ['../../../../*'], message: 'Do not reach into another package by path.' },
          ],
        },
      ],
    },
  }
}

export default tseslint.config(
  {
    ignores: ['**/node_modules/**', '**/dist/**', 'target/**', 'packages/protocol/src/lib/gen/**'],
  },
  js.configs.recommended,
  {
    files: ['**/*.ts'],
    extends: [tseslint.configs.strictTypeChecked, tseslint.configs.stylisticTypeChecked],
    languageOptions: {
      parserOptions: { project: './tsconfig.json', tsconfigRootDir: import.meta.dirname },
    },
    rules: {
      '@typescript-eslint/consistent-type-imports': [
        'error',
        { fixStyle: 'separate-type-imports' },
      ],
      '@typescript-eslint/consistent-type-exports': 'error',
      '@typescript-eslint/switch-exhaustiveness-check': [
        'error',
        { considerDefaultExhaustiveForUnions: true },
      ],
      '@typescript-eslint/restrict-template-expressions': ['error', { allowNumber: true }],
      '@typescript-eslint/no-unused-vars': ['error', { argsIgnorePattern: '^_' }],
      'max-lines': ['error', { max: 400, skipBlankLines: true, skipComments: true }],
      'max-lines-per-function': ['error', { max: 60, skipBlankLines: true, skipComments: true }],
      complexity: ['error', { max: 15, variant: 'modified' }],
    },
  },
  {
    files: ['**/*.test.ts'],
    rules: {
      'max-lines-per-function': 'off',
      '@typescript-eslint/no-floating-promises': 'off',
    },
  },
  {
    files: ['*.js'],
    languageOptions: { globals: { process: 'readonly', console: 'readonly' } },
  },
  ...packages.map(borderRule),
)
