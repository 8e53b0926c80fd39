import neostandard from 'neostandard'

// Each package may import only the packages before it in this list, and none may import endpoint.
const packageOrder = ['kernel', 'policy', 'protocol', 'coordination', 'endpoint', 'admin', 'router', 'cli', 'gateway']
const standinsAllowedImports = ['kernel']

function forbiddenImports (name) {
  const allowed = name === 'standins' ? standinsAllowedImports : packageOrder.slice(0, packageOrder.indexOf(name))
  const importable = name === 'endpoint' ? allowed : allowed.filter(other => other !== 'endpoint')
  const forbidden = [...packageOrder, 'standins', 'bench'].filter(other => !importable.includes(other))
  return forbidden.filter(other => other !== name).map(other => `@buckthorndrift/${other}`)
}

function importRule (name) {
  return {
    files: [`packages/${name}/src/**/*.ts`],
    ignores: ['**/__tests__/**'],
    rules: {
      'no-restricted-imports': ['error', {
        paths: forbiddenImports(name).map(path => ({ name: path, message: 'This import is not allowed for this package; see packageOrder in eslint.config.js.' })),
        patterns: [{ group: ['@buckthorndrift/*/*'], message: 'Import a package by its name, not a file inside it.' }]
      }]
    }
  }
}

// Code in shared folders has no timers, clock, random source, process or network of its own.
const sharedCodeRule = {
  files: ['packages/*/src/shared/**/*.ts'],
  ignores: ['**/__tests__/**'],
  rules: {
    'no-restricted-globals': ['error', 'setTimeout', 'setInterval', 'process', 'fetch'],
    'no-restricted-syntax': ['error',
      { selector: "MemberExpression[object.name='Math'][property.name='random']", message: 'Shared code takes its random numbers as an argument.' },
      { selector: "MemberExpression[object.name='Date'][property.name='now']", message: 'Shared code takes the time as an argument.' },
      { selector: "NewExpression[callee.name='Date'][arguments.length=0]", message: 'Shared code takes the time as an argument.' }
    ]
  }
}

export default [
  ...neostandard({ ts: true, ignores: ['**/dist/**', '**/node_modules/**', 'target/**', 'journal/**'] }),
  {
    rules: {
      'max-lines': ['error', { max: 350 }],
      'no-void': ['error', { allowAsStatement: true }],
    }
  },
  ...[...packageOrder, 'standins'].map(importRule),
  sharedCodeRule
]
