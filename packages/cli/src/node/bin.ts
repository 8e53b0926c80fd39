#!/usr/bin/env node
import { exitCodes } from '../shared/exitCodes.ts'
import { runCommandLine } from './commandLine.ts'

// A reader such as `head` may close the pipe early, which is not a failure.
process.stdout.on('error', (error: NodeJS.ErrnoException) => { process.exit(error.code === 'EPIPE' ? exitCodes.done : exitCodes.failed) })

process.exitCode = await runCommandLine(process.argv.slice(2))
