/** What commands print: results on standard output, everything for the person at the terminal on standard error. */
import { formatTable, type Cell } from '../shared/table.ts'

export function print (text: string): void {
  process.stdout.write(`${text}\n`)
}

export function printError (text: string): void {
  process.stderr.write(`${text}\n`)
}

/** One JSON value on one line. */
export function printJson (value: unknown): void {
  print(JSON.stringify(value))
}

/** Prints a table, or `emptyNote` on standard error when there are no rows. */
export function printTable (head: readonly string[], rows: ReadonlyArray<readonly Cell[]>, emptyNote: string): void {
  if (rows.length === 0) return printError(emptyNote)
  print(formatTable(head, rows))
}

/** A line of progress that replaces itself on a terminal; elsewhere, such as in the log of a job, each new text is one line. */
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
