/** Parses the fleet text: from YAML to a resolved configuration, or to the list of problems for which it is refused. */
import { Err, Ok, type Result } from 'ts-results-es'
import { isAlias, isCollection, LineCounter, parseDocument, visit, type Document } from 'yaml'
import type { z } from 'zod'
import { checkCalls, checkDeadlines, checkDependencies, checkVersions, type DeadlineContext } from './fleetChecks.ts'
import type { CallConfig, FleetConfig, ServiceConfig, VersionConfig } from './fleetConfig.ts'
import { problemAtOffset, createLocator, formatPath, type FleetProblem, type ProblemLocator } from './fleetProblem.ts'
import { fleetTextSchema, maxFleetTextBytes, type FleetTextValue, type ServiceTextValue } from './fleetSchema.ts'
import { parseRoute } from './routes.ts'

/** Maximum number of problems reported, because one mistake can cause many. */
const maxProblems = 50

/**
 * Parses a fleet text as a whole. Never throws. Deadlines are checked against the
 * clock only when `deadlines` is given: a stored text stays valid after its deadlines.
 */
export function parseFleetText (text: string, deadlines?: DeadlineContext): Result<FleetConfig, readonly FleetProblem[]> {
  // The length is in UTF-16 code units, and a character beyond ASCII takes at least two bytes. The limit need not be exact.
  if (text.length > maxFleetTextBytes) return Err([{ line: 1, column: 1, reason: `the text is larger than ${maxFleetTextBytes} bytes` }])
  try {
    const parsed = parse(text, deadlines)
    return parsed.isOk() ? parsed : Err(sortAndLimit(parsed.error))
  } catch (error) {
    // The YAML parser is recursive and overflows the stack on deeply nested collections.
    const reason = error instanceof RangeError ? 'the text is nested too deeply' : `the text cannot be read: ${String(error)}`
    return Err([{ line: 1, column: 1, reason }])
  }
}

function parse (text: string, deadlines: DeadlineContext | undefined): Result<FleetConfig, readonly FleetProblem[]> {
  const lines = new LineCounter()
  const document = parseDocument(text, { lineCounter: lines, version: '1.2', schema: 'core', prettyErrors: false })
  const syntax = findSyntaxProblems(document, lines)
  if (syntax.length > 0) return Err(syntax)
  const locate = createLocator(document, lines)
  const value = fleetTextSchema.safeParse(document.toJS(), { reportInput: true })
  if (!value.success) return Err(value.error.issues.flatMap(issue => problemsOfIssue(issue, locate)))
  const problems = checkAll(value.data, deadlines, locate)
  return problems.length > 0 ? Err(problems) : Ok(resolveFleet(value.data))
}

function findSyntaxProblems (document: Document.Parsed, lines: LineCounter): readonly FleetProblem[] {
  const problems = [...document.errors, ...document.warnings].map(error => problemAtOffset(lines, error.pos[0], error.message))
  visit(document, {
    Pair (_, pair) {
      if (isCollection(pair.key)) problems.push(problemAtOffset(lines, pair.key.range?.[0] ?? 0, 'a name must not be a list or a map'))
    },
    Node (_, node) {
      // Aliases could expand a short text into a very large one.
      if (isAlias(node) || node.anchor !== undefined) problems.push(problemAtOffset(lines, node.range?.[0] ?? 0, 'anchors and aliases are not supported'))
    }
  })
  return problems
}

function checkAll (value: FleetTextValue, deadlines: DeadlineContext | undefined, locate: ProblemLocator): readonly FleetProblem[] {
  const problems = Object.entries(value.services).flatMap(([name, service]) => [
    ...checkVersions(name, service, locate),
    ...checkCalls(name, service, locate)
  ])
  const others = [
    ...checkDependencies(value.services, locate),
    ...(deadlines === undefined ? [] : checkDeadlines(value.services, deadlines, locate))
  ]
  return [...problems, ...others]
}

function problemsOfIssue (issue: z.core.$ZodIssue, locate: ProblemLocator): readonly FleetProblem[] {
  const location = formatPath(issue.path)
  const prefix = location === '' ? '' : `${location}: `
  switch (issue.code) {
    case 'unrecognized_keys':
      return issue.keys.map(key => locate([...issue.path, key], `${prefix}unknown name "${key}"`))
    case 'invalid_key':
      return [locate(issue.path, `${prefix}${issue.issues[0]?.message ?? issue.message}`)]
    default:
      return [locate(issue.path, `${prefix}${issue.input === undefined ? 'is missing' : issue.message}`)]
  }
}

function sortAndLimit (problems: readonly FleetProblem[]): readonly FleetProblem[] {
  return problems.toSorted((a, b) => a.line - b.line || a.column - b.column).slice(0, maxProblems)
}

function resolveFleet (value: FleetTextValue): FleetConfig {
  // The object has no prototype, so that looking up a service named `constructor` finds nothing.
  const services = Object.assign(Object.create(null), Object.fromEntries(
    Object.entries(value.services).map(([name, service]) => [name, resolveService(name, service)])
  )) as Record<string, ServiceConfig>
  return { services }
}

function resolveService (name: string, service: ServiceTextValue): ServiceConfig {
  const base = {
    name,
    dependsOn: service.dependsOn,
    versions: service.versions.map(resolveVersion),
    endpointLimit: service.endpointLimit
  }
  if (service.kind === 'model') return { ...base, kind: 'model', maxOutputTokens: service.maxOutputTokens }
  return { ...base, kind: 'plain', calls: service.calls.map(resolveCall) }
}

function resolveVersion (version: ServiceTextValue['versions'][number]): VersionConfig {
  return version.moveBy === undefined ? { name: version.name } : { name: version.name, moveByMs: version.moveBy }
}

function resolveCall (call: Extract<ServiceTextValue, { kind: 'plain' }>['calls'][number]): CallConfig {
  return { ...call, ...parseRoute(call.route).unwrap() }
}
