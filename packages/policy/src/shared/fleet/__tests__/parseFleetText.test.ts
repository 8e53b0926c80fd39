import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { matchCall } from '../../routing/index.ts'
import { diffFleet, parseFleetText, formatProblem, type FleetConfig, type ServiceConfig } from '../index.ts'

const example = `services:
  carebot:
    kind: model
    dependsOn: [boarding-desk]
    maxOutputTokens: 512
    versions:
      - name: v1
      - name: v2
        moveBy: 2026-12-05T06:00:00Z
    endpointLimit: 8
  boarding-desk:
    kind: plain
    versions: [{ name: v1 }]
    endpointLimit: 16
    calls:
      - { route: POST /bookings, idempotent: false, priceTokens: 20 }
      - { route: GET /chambers/*, idempotent: true, priceTokens: 1 }
      - { route: GET /chambers/all, idempotent: true, priceTokens: 9 }
`
const moveByMs = Date.UTC(2026, 11, 5, 6)

function parsed (text: string): FleetConfig {
  return parseFleetText(text).unwrap()
}

/** Problems of the example text after replacing `from` by `to`. */
function problemsAfter (from: string, to: string, nowMs?: number, inForce?: FleetConfig): readonly string[] {
  if (!example.includes(from)) throw new Error(`the example has no ${from}`)
  const result = parseFleetText(example.replace(from, to), nowMs === undefined ? undefined : { nowMs, inForce })
  return result.isOk() ? [] : result.error.map(formatProblem)
}

describe('parseFleetText', () => {
  it('parses the example of the design page', () => {
    const { services } = parsed(example)
    expect(services['carebot']).toEqual({
      name: 'carebot',
      kind: 'model',
      dependsOn: ['boarding-desk'],
      maxOutputTokens: 512,
      endpointLimit: 8,
      versions: [{ name: 'v1' }, { name: 'v2', moveByMs }]
    })
    expect(services['boarding-desk']).toMatchObject({ kind: 'plain', dependsOn: [], calls: [{ method: 'POST', path: '/bookings', priceTokens: 20 }, {}, {}] })
  })

  it('finds no service under the name of an inherited object property', () => {
    expect(parsed(example).services['constructor']).toBeUndefined()
  })

  it.each([
    ['syntax', 'versions: [{ name: v1 }]', 'versions: [{ name: v1 ]', /^line 13, column \d+: /],
    ['an unknown setting', 'endpointLimit: 8', 'endpointLimits: 8', /^line 10, column 5: services\.carebot: unknown name "endpointLimits"/m],
    ['a missing setting', 'endpointLimit: 8', '', /^line 3, column 5: services\.carebot\.endpointLimit: is missing/],
    ['a list as a name', 'carebot:', '[carebot]:', /^line 2, column 3: .*list or a map/],
    ['a repeated service', 'boarding-desk:\n', 'carebot:\n', /^line 11, column 3: Map keys must be unique/],
    ['an unknown dependency', '[boarding-desk]', '[boardingdesk]', /^line 4, column 17: .*does not list/],
    ['a dependency listed twice', '[boarding-desk]', '[boarding-desk, boarding-desk]', /^line 4, column 32: .*twice/],
    ['a cycle', 'kind: plain', 'kind: plain\n    dependsOn: [carebot]', /cycle: carebot -> boarding-desk -> carebot/],
    ['a repeated version', 'name: v2', 'name: v1', /^line 8, column 9: .*v1 twice/],
    ['a deadline that is not a time', '2026-12-05T06:00:00Z', 'tomorrow', /^line 9, column 9: .*2026-12-05T06:00:00Z/],
    ['a day that does not exist', '2026-12-05T', '2026-02-30T', /^line 9, column 9: /],
    ['a deadline before that of an older version', 'name: v1\n', 'name: v1\n        moveBy: 2027-01-01T00:00:00Z\n', /later moveBy than version v1/],
    ['a route without a path', 'POST /bookings', 'POST', /^line 16, column 11: .*method and a path/],
    ['an unknown method', 'POST /bookings', 'BOOK /bookings', /must begin with one of/],
    ['a path with a parent directory segment', 'POST /bookings', 'POST /a/../b', /"\.\."/],
    ['a repeated route', 'POST /bookings', 'GET /chambers/*', /^line 17, column 11: .*twice/],
    ['routes whose price is ambiguous', 'POST /bookings', 'GET /*/7', /^line 17, column 11: .*narrower/],
    ['an alias', '[boarding-desk]', '&a [boarding-desk]', /aliases are not supported/],
    ['a service name in capitals', 'carebot:', 'Carebot:', /^line 2, column 3: .*lower-case/],
    ['an unknown kind', 'kind: model', 'kind: engine', /^line 3, column 5: .*model or plain/],
    ['a fraction of a token', 'maxOutputTokens: 512', 'maxOutputTokens: 51.2', /^line 5, column 5: /]
  ])('refuses %s, with line, column and reason', (_, from, to, expected) => {
    expect(problemsAfter(from, to).join('\n')).toMatch(expected)
  })

  it.each(['', '[]', 'services:', 'services: {}', 'services: 7', '--- {}\n--- {}', '!!binary x', 'a: *b'])('refuses %j', text => {
    expect(parseFleetText(text).isErr()).toBe(true)
  })

  describe('deadlines', () => {
    it('refuses a new deadline that leaves no time for a rollout', () => {
      expect(problemsAfter('v1', 'v1', moveByMs - 59_000).join()).toMatch(/^line 9, column 9: .*less than 60 s/)
      expect(problemsAfter('v1', 'v1', moveByMs - 61_000)).toEqual([])
    })

    it('accepts a past deadline of the active configuration, so that a text can still be changed after a rollout', () => {
      expect(problemsAfter('endpointLimit: 8', 'endpointLimit: 9', moveByMs + 1, parsed(example))).toEqual([])
    })

    it('refuses a deadline that is not after that of a dependency, whose rollout goes first', () => {
      const versions = 'versions: [{ name: v1 }, { name: v2, moveBy: 2026-12-05T06:00:00Z }]'
      expect(problemsAfter('versions: [{ name: v1 }]', versions, 0).join()).toMatch(/^line 9, column 9: .*waits for the one of boarding-desk/)
    })
  })

  describe('any input', () => {
    const fragments = fc.constantFrom(...example.split(/(?<=[\n {}[\],:])/), '&a ', '*a', '!!map ', '? ', '<<: ', '|', '"', '\t', '\u0000', '\ud800', '__proto__: ')

    it('never throws and locates every problem inside the text', () => {
      const texts = fc.oneof(fc.string({ unit: 'binary' }), fc.array(fragments, { maxLength: 60 }).map(parts => parts.join('')))
      fc.assert(fc.property(texts, text => {
        const result = parseFleetText(text, { nowMs: 0, inForce: undefined })
        if (result.isOk()) return
        expect(result.error.length).toBeGreaterThan(0)
        for (const problem of result.error) {
          expect(problem.line).toBeGreaterThan(0)
          expect(problem.line).toBeLessThanOrEqual(text.split('\n').length)
          expect(problem.column).toBeGreaterThan(0)
        }
      }), { numRuns: 2000 })
    })

    it('refuses deep nesting and oversized texts, which would exhaust the stack or memory', () => {
      expect(parseFleetText('['.repeat(200_000)).unwrapErr()[0]?.line).toBe(1)
      expect(parseFleetText('#'.repeat(300_000)).unwrapErr()[0]?.reason).toContain('larger')
    })
  })
})

describe('accepted routes', () => {
  const segment = fc.constantFrom('a', 'b', '*')
  const path = fc.array(segment, { minLength: 1, maxLength: 3 }).map(segments => `/${segments.join('/')}`)

  it('match a path to the same call in any order of the routes, so that its price is unambiguous', () => {
    fc.assert(fc.property(fc.array(path, { minLength: 1, maxLength: 5 }), path, (paths, asked) => {
      const calls = paths.map(route => `{ route: "GET ${route}", idempotent: true, priceTokens: 1 }`).join(', ')
      const result = parseFleetText(`services: { desk: { kind: plain, versions: [{ name: v1 }], endpointLimit: 1, calls: [${calls}] } }`)
      if (result.isErr()) return
      const { calls: accepted } = result.value.services['desk'] as Extract<ServiceConfig, { kind: 'plain' }>
      const concrete = asked.replaceAll('*', 'c')
      expect(matchCall(accepted.toReversed(), 'GET', concrete)).toEqual(matchCall(accepted, 'GET', concrete))
    }), { numRuns: 2000 })
  })
})

describe('diffFleet', () => {
  it('lists removed and changed settings, and nothing for equal configurations', () => {
    const after = parsed(example.replace('priceTokens: 20', 'priceTokens: 25').replace(/ {8}moveBy.*\n/, ''))
    expect(diffFleet(parsed(example), after)).toEqual([
      { kind: 'removed', part: 'carebot versions v2 moveByMs', before: String(moveByMs) },
      { kind: 'changed', part: 'boarding-desk calls "POST /bookings" priceTokens', before: '20', after: '25' }
    ])
    expect(diffFleet(after, after)).toEqual([])
  })
})
