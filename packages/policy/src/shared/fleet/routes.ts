/** Routes of plain services, such as `GET /chambers/*`, where `*` stands for one path segment. */
import { Err, Ok, type Result } from 'ts-results-es'

const methods = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS']
const segmentPattern = /^[A-Za-z0-9._~!$&'()+,;=:@%-]+$/
const maxRouteLength = 200

export interface RouteParts {
  readonly method: string
  readonly path: string
}

/** Parses and validates a route; the error states what is wrong with it. */
export function parseRoute (route: string): Result<RouteParts, string> {
  if (route.length > maxRouteLength) return Err(`a route has at most ${maxRouteLength} characters`)
  const [method = '', path = '', ...rest] = route.split(' ')
  if (path === '' || rest.length > 0) return Err(`route "${route}" must be a method and a path, such as GET /chambers/*`)
  if (!methods.includes(method)) return Err(`route "${route}" must begin with one of ${methods.join(', ')}`)
  if (!path.startsWith('/')) return Err(`the path of route "${route}" must begin with a slash`)
  const wrong = path === '/' ? undefined : segmentsOf(path).find(segment => !isSegment(segment))
  if (wrong === undefined) return Ok({ method, path })
  return Err(wrong === '' ? `the path of route "${route}" has an empty segment` : `segment "${wrong}" of route "${route}" is not allowed`)
}

function isSegment (segment: string): boolean {
  return segment === '*' || (segmentPattern.test(segment) && segment !== '.' && segment !== '..')
}

function segmentsOf (path: string): readonly string[] {
  return path.slice(1).split('/')
}

/** Whether every path that `narrow` matches is matched by `wide`. */
function covers (wide: string, narrow: string): boolean {
  const narrowSegments = segmentsOf(narrow)
  const wideSegments = segmentsOf(wide)
  return wideSegments.length === narrowSegments.length &&
    wideSegments.every((segment, index) => segment === '*' ? narrowSegments[index] !== '' : segment === narrowSegments[index])
}

/** Whether some path matches both routes and neither route is narrower, so that the price of a call would be ambiguous. */
export function isAmbiguous (first: RouteParts, second: RouteParts): boolean {
  if (first.method !== second.method) return false
  const a = segmentsOf(first.path)
  const b = segmentsOf(second.path)
  const overlaps = a.length === b.length &&
    a.every((segment, index) => segment === b[index] || (segment === '*' && b[index] !== '') || (b[index] === '*' && segment !== ''))
  return overlaps && !covers(first.path, second.path) && !covers(second.path, first.path)
}
