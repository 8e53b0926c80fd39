/** Help pages of the command line. */
import { setDefaultHelpFormatter } from 'cmd-ts'
import { exitCodeHelp } from '../shared/exitCodes.ts'

interface Topic {
  readonly category: string
  readonly usage: string
  readonly description: string
  readonly defaults: readonly string[]
}

const categoryTitles: Readonly<Record<string, string>> = { arguments: 'Arguments', options: 'Options', flags: 'Flags' }
const categoryOrder = ['arguments', 'options', 'flags']

function list (rows: ReadonlyArray<readonly [string, string]>): readonly string[] {
  const width = Math.max(0, ...rows.map(([name]) => name.length))
  return rows.map(([name, text]) => `  ${name.padEnd(width)}  ${text}`.trimEnd())
}

function argumentUsage ({ usage }: Topic): string {
  return usage.startsWith('<') || usage.startsWith('[') ? usage : `<${usage}>`
}

/** Installs the format for all commands. */
export function installHelpFormat (): void {
  setDefaultHelpFormatter({
    formatCommand ({ path, description, helpTopics, examples }) {
      const topics = helpTopics as readonly Topic[]
      const positionals = topics.filter(topic => topic.category === 'arguments').map(argumentUsage)
      const sections = categoryOrder.flatMap(category => {
        const rows = topics.filter(topic => topic.category === category).map(topic => [topic.usage, topic.description] as const)
        return rows.length === 0 ? [] : ['', `${categoryTitles[category]}:`, ...list(rows)]
      })
      return [
        description ?? '',
        '',
        `Usage: ${[...path, ...positionals].join(' ')} [options]`,
        ...sections,
        ...(examples === undefined || examples.length === 0 ? [] : ['', 'Examples:', ...list(examples.map(example => [example.command, example.description]))]),
        '',
        `Exit codes: ${exitCodeHelp}`
      ].join('\n')
    },
    formatSubcommands ({ path, description, commands, examples }) {
      return [
        description ?? '',
        '',
        `Usage: ${path.join(' ')} <command> [options]`,
        '',
        'Commands:',
        ...list(commands.map(command => [command.name, command.description ?? ''])),
        ...(examples === undefined || examples.length === 0 ? [] : ['', 'Examples:', ...list(examples.map(example => [example.command, example.description]))]),
        '',
        `Run ${path.join(' ')} <command> --help for its arguments and options.`,
        `Exit codes: ${exitCodeHelp}`
      ].join('\n')
    }
  })
}
