/** Exit codes of the command line; part of its public interface. */
export const exitCodes = {
  done: 0,
  /** The command ran and failed, or a checked text is refused. */
  failed: 1,
  /** The command line is wrong. */
  usage: 2,
  /** Somebody else made a change first, or a name is taken. */
  conflict: 3,
  /** The router or the platform behind it cannot be reached. */
  unreachable: 4
} as const

export type ExitCode = typeof exitCodes[keyof typeof exitCodes]

export const exitCodeHelp = '0 done, 1 failed, 2 usage, 3 conflict, 4 not reachable'
