/** The `buckthorndrift` command line. */
export { runCommandLine } from './node/commandLine.ts'
export { exitCodes, type ExitCode } from './shared/exitCodes.ts'
