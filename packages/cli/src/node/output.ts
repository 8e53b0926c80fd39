/** Output of commands: results go to standard output; errors, notes and progress go to standard error. */
import { formatTable, type Cell } from '../shared/table.ts'

export function print (text: string): void {
  process.stdout.write(`${text}\n`)
}

export function printError (text: string): void {
  process.stderr.write(`${text}\n`)
}

/** Prints a JSON value on one line. */
export function printJson (value: unknown): void {
  print(JSON.stringify(value))
}

/** Prints a table, or prints `emptyNote` to standard error when there are no rows. */
export function printTable (head: readonly string[], rows: ReadonlyArray<readonly Cell[]>, emptyNote: string): void {
  if (rows.length === 0) return printError(emptyNote)
  print(formatTable(head, rows))
}

/** Progress display on standard error. A terminal shows one line that is overwritten; other outputs, such as a job log, get one line per new text. */
export function createProgress (): { show (text: string): void, end (): void } {
  let last = ''
  return {
    show (text) {
      if (text === last) return
      process.stderr.write(process.stderr.isTTY ? `\r\u001b[K${text}` : `${text}\n`)
      last = text
    },
    end () {
      if (process.stderr.isTTY && last !== '') process.stderr.write('\n')
    }
  }
}
