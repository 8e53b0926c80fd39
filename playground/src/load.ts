/** Bounded background load of callers behind a balancer. */
import { Agent, request } from 'undici'
import { chat, send, type Answer } from './callers.ts'

export interface LoadOptions {
  readonly key: string
  /** Routers that the balancer knows now. */
  routers (): readonly string[]
  readonly requestsPerSecond: number
}

export interface Load {
  /** Ends the load and resolves with what went wrong, one text per failed request, and the number of requests. */
  stop (): Promise<{ readonly failures: readonly string[], readonly requests: number }>
}

/** Interval at which the balancer checks the health of its routers. */
const healthIntervalMs = 100

/** A balancer opens connections by itself; no connection is used twice here, so that none is closed under a request. */
const dispatcher = new Agent({ pipelining: 0 })

function isConnectFailure (error: unknown): boolean {
  return error instanceof Error && 'code' in error && (error.code === 'ECONNREFUSED' || error.code === 'UND_ERR_CONNECT_TIMEOUT')
}

/** Starts requests of three kinds in turn; a refused connection goes to the next router, as a balancer does it. */
export function startLoad (options: LoadOptions): Load {
  const failures: string[] = []
  const running = new Set<Promise<void>>()
  let healthy = options.routers()
  let requests = 0

  async function isHealthy (url: string): Promise<boolean> {
    try {
      const { statusCode, body } = await request(`${url}/health`, { dispatcher })
      await body.dump()
      return statusCode === 200
    } catch {
      return false
    }
  }

  async function checkHealth (): Promise<void> {
    const urls = options.routers()
    const checks = await Promise.all(urls.map(isHealthy))
    healthy = urls.filter((_, index) => checks[index])
  }

  function sendOne (number: number, url: string): Promise<Answer> {
    const common = { key: options.key, dispatcher }
    switch (number % 3) {
      case 0: return chat(url, { ...common, model: 'carebot', prompt: `question ${number}`, maxTokens: 60, isStreamed: true })
      case 1: return chat(url, { ...common, model: 'carebot', prompt: `question ${number}`, maxTokens: 10 })
      default: return send('GET', `${url}/services/boarding-desk/chambers/${number}`, undefined, common)
    }
  }

  async function serve (number: number): Promise<void> {
    const urls = healthy
    for (let attempt = 0; attempt < urls.length; attempt++) {
      try {
        const answer = await sendOne(number, urls[(number + attempt) % urls.length]!)
        const isWhole = answer.status === 200 && (number % 3 !== 0 || answer.text.includes('[DONE]'))
        if (!isWhole) failures.push(`request ${number}: status ${answer.status} ${answer.text.slice(-200)}`)
        return
      } catch (error) {
        if (isConnectFailure(error)) continue
        failures.push(`request ${number}: ${String(error)}`)
        return
      }
    }
    failures.push(`request ${number}: no router accepts connections`)
  }

  const timer = setInterval(() => {
    const one = serve(requests++)
    running.add(one)
    void one.finally(() => { running.delete(one) })
  }, 1000 / options.requestsPerSecond)

  const healthTimer = setInterval(() => { void checkHealth() }, healthIntervalMs)

  return {
    async stop () {
      clearInterval(timer)
      clearInterval(healthTimer)
      await Promise.all(running)
      return { failures, requests }
    }
  }
}
