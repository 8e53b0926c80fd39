/** Command line of the fleet. */
export { runCommandLine } from './node/commandLine.ts'
export { exitCodes, type ExitCode } from './shared/exitCodes.ts'
