import { readdirSync, readFileSync } from 'node:fs'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { describe, expect, it } from 'vitest'
import { eventCatalogue, metricCatalogue } from '@buckthorndrift/kernel'

const root = fileURLToPath(new URL('../../../../../', import.meta.url))

/** Sources of all packages without tests and without the catalogues themselves. */
function sources (): string {
  const files = readdirSync(join(root, 'packages'), { recursive: true, encoding: 'utf8' })
  const wanted = files.filter(file => /^[a-z]+\/src\/.*\.ts$/.test(file) && !file.includes('__tests__') && !/(event|metric)Catalogue\.ts$/.test(file))
  return wanted.map(file => readFileSync(join(root, 'packages', file), 'utf8')).join('\n')
}

describe('event catalogue', () => {
  it('gives each number to one event', () => {
    const numbers = Object.values(eventCatalogue).map(event => event.number)
    expect(new Set(numbers).size).toBe(numbers.length)
  })

  it('loses no event to another one of the same name in a second file', () => {
    const directory = join(root, 'packages/kernel/src/shared/events')
    const text = readdirSync(directory).map(file => readFileSync(join(directory, file), 'utf8')).join('\n')
    expect(Object.keys(eventCatalogue)).toHaveLength([...text.matchAll(/\{ number: \d+,/g)].length)
  })

  it('lists no event that nothing logs, which would send an operator looking for it in vain', () => {
    const text = sources()
    expect(Object.keys(eventCatalogue).filter(name => !text.includes(`'${name}'`))).toEqual([])
  })
})

describe('metric catalogue', () => {
  it.each(Object.entries(metricCatalogue))('explains %s under a well-formed name', (name, metric) => {
    expect(name).toMatch(/^[a-z]+\.[a-zA-Z]+$/)
    expect(metric.summary).not.toBe('')
  })

  it('lists no metric that nothing sends, which would leave a chart empty', () => {
    const text = sources()
    expect(Object.keys(metricCatalogue).filter(name => !text.includes(`'${name}'`))).toEqual([])
  })
})
