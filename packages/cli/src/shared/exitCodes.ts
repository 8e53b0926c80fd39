/** Exit codes of the command line. Scripts rely on them. */
export const exitCodes = {
  done: 0,
  /** The command failed, or the fleet text is invalid. */
  failed: 1,
  /** The command line is invalid. */
  usage: 2,
  /** Another change of the same object came first, or a name is taken. */
  conflict: 3,
  /** The router or the platform behind it cannot be reached. */
  unreachable: 4
} as const

export type ExitCode = typeof exitCodes[keyof typeof exitCodes]

export const exitCodeSummary = '0 done, 1 failed, 2 usage, 3 conflict, 4 not reachable'
