import { readdirSync, readFileSync } from 'node:fs'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { describe, expect, it } from 'vitest'
import { eventCatalogue, metricCatalogue } from '@buckthorndrift/kernel'

const root = fileURLToPath(new URL('../../../../../', import.meta.url))

/** Concatenated sources of all packages, without tests and the catalogues themselves. */
function readSources (): string {
  const files = readdirSync(join(root, 'packages'), { recursive: true, encoding: 'utf8' })
  const wanted = files.filter(file => /^[a-z]+\/src\/.*\.ts$/.test(file) && !file.includes('__tests__') && !/(event|metric)Catalogue\.ts$/.test(file))
  return wanted.map(file => readFileSync(join(root, 'packages', file), 'utf8')).join('\n')
}

describe('event catalogue', () => {
  it('assigns each number to one event only', () => {
    const numbers = Object.values(eventCatalogue).map(event => event.number)
    expect(new Set(numbers).size).toBe(numbers.length)
  })

  it('contains every event of its source files, so no event overwrites one of the same name in another file', () => {
    const directory = join(root, 'packages/kernel/src/shared/events')
    const text = readdirSync(directory).map(file => readFileSync(join(directory, file), 'utf8')).join('\n')
    expect(Object.keys(eventCatalogue)).toHaveLength([...text.matchAll(/\{ number: \d+,/g)].length)
  })

  it('lists no event that is never logged, for which an operator would search the logs in vain', () => {
    const text = readSources()
    expect(Object.keys(eventCatalogue).filter(name => !text.includes(`'${name}'`))).toEqual([])
  })
})

describe('metric catalogue', () => {
  it.each(Object.entries(metricCatalogue))('gives %s a well-formed name and a summary', (name, metric) => {
    expect(name).toMatch(/^[a-z]+\.[a-zA-Z]+$/)
    expect(metric.summary).not.toBe('')
  })

  it('lists no metric that is never sent, which would leave a chart empty', () => {
    const text = readSources()
    expect(Object.keys(metricCatalogue).filter(name => !text.includes(`'${name}'`))).toEqual([])
  })
})
