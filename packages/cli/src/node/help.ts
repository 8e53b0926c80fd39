/** Format of the help pages. */
import { setDefaultHelpFormatter } from 'cmd-ts'
import { exitCodeSummary } from '../shared/exitCodes.ts'

interface HelpTopic {
  readonly category: string
  readonly usage: string
  readonly description: string
  readonly defaults: readonly string[]
}

const categoryTitles: Readonly<Record<string, string>> = { arguments: 'Arguments', options: 'Options', flags: 'Flags' }
const categoryOrder = ['arguments', 'options', 'flags']

function formatRows (rows: ReadonlyArray<readonly [string, string]>): readonly string[] {
  const width = Math.max(0, ...rows.map(([name]) => name.length))
  return rows.map(([name, text]) => `  ${name.padEnd(width)}  ${text}`.trimEnd())
}

function argumentUsage ({ usage }: HelpTopic): string {
  return usage.startsWith('<') || usage.startsWith('[') ? usage : `<${usage}>`
}

/** Sets the help format of all commands. */
export function installHelpFormat (): void {
  setDefaultHelpFormatter({
    formatCommand ({ path, description, helpTopics, examples }) {
      const topics = helpTopics as readonly HelpTopic[]
      const positionals = topics.filter(topic => topic.category === 'arguments').map(argumentUsage)
      const sections = categoryOrder.flatMap(category => {
        const rows = topics.filter(topic => topic.category === category).map(topic => [topic.usage, topic.description] as const)
        return rows.length === 0 ? [] : ['', `${categoryTitles[category]}:`, ...formatRows(rows)]
      })
      return [
        description ?? '',
        '',
        `Usage: ${[...path, ...positionals].join(' ')} [options]`,
        ...sections,
        ...(examples === undefined || examples.length === 0 ? [] : ['', 'Examples:', ...formatRows(examples.map(example => [example.command, example.description]))]),
        '',
        `Exit codes: ${exitCodeSummary}`
      ].join('\n')
    },
    formatSubcommands ({ path, description, commands, examples }) {
      return [
        description ?? '',
        '',
        `Usage: ${path.join(' ')} <command> [options]`,
        '',
        'Commands:',
        ...formatRows(commands.map(command => [command.name, command.description ?? ''])),
        ...(examples === undefined || examples.length === 0 ? [] : ['', 'Examples:', ...formatRows(examples.map(example => [example.command, example.description]))]),
        '',
        `Run ${path.join(' ')} <command> --help for its arguments and options.`,
        `Exit codes: ${exitCodeSummary}`
      ].join('\n')
    }
  })
}
