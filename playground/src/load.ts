/** Background load of callers at a fixed request rate, sent through a simulated load balancer. */
import { Agent, request } from 'undici'
import { chat, send, type CallResponse } from './callers.ts'

export interface LoadOptions {
  readonly key: string
  /** URLs of the routers behind the load balancer now. */
  routers (): readonly string[]
  readonly requestsPerSecond: number
}

export interface Load {
  /** Stops the load. Resolves with one message per failed request and the number of requests sent. */
  stop (): Promise<{ readonly failures: readonly string[], readonly requests: number }>
}

/** Interval at which the load balancer checks the health of the routers. */
const healthIntervalMs = 100

/** Opens a connection for each request (`pipelining: 0`), so that no router closes an idle connection just when a request is sent on it. A real load balancer manages its connections itself. */
const dispatcher = new Agent({ pipelining: 0 })

function isConnectError (error: unknown): boolean {
  return error instanceof Error && 'code' in error && (error.code === 'ECONNREFUSED' || error.code === 'UND_ERR_CONNECT_TIMEOUT')
}

/** Sends requests of three kinds in turn. After a refused connection a request goes to the next router, as with a load balancer. */
export function startLoad (options: LoadOptions): Load {
  const failures: string[] = []
  const inFlight = new Set<Promise<void>>()
  let healthyUrls = options.routers()
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
    const checkResults = await Promise.all(urls.map(isHealthy))
    healthyUrls = urls.filter((_, index) => checkResults[index])
  }

  function sendOne (number: number, url: string): Promise<CallResponse> {
    const common = { key: options.key, dispatcher }
    switch (number % 3) {
      case 0: return chat(url, { ...common, model: 'carebot', prompt: `question ${number}`, maxTokens: 60, isStreamed: true })
      case 1: return chat(url, { ...common, model: 'carebot', prompt: `question ${number}`, maxTokens: 10 })
      default: return send('GET', `${url}/services/boarding-desk/chambers/${number}`, undefined, common)
    }
  }

  async function sendToFirstAvailable (number: number): Promise<void> {
    const urls = healthyUrls
    for (let attempt = 0; attempt < urls.length; attempt++) {
      try {
        const response = await sendOne(number, urls[(number + attempt) % urls.length]!)
        const isComplete = response.status === 200 && (number % 3 !== 0 || response.text.includes('[DONE]'))
        if (!isComplete) failures.push(`request ${number}: status ${response.status} ${response.text.slice(-200)}`)
        return
      } catch (error) {
        if (isConnectError(error)) continue
        failures.push(`request ${number}: ${String(error)}`)
        return
      }
    }
    failures.push(`request ${number}: no healthy router accepted the connection`)
  }

  const timer = setInterval(() => {
    const outcome = sendToFirstAvailable(requests++)
    inFlight.add(outcome)
    void outcome.finally(() => { inFlight.delete(outcome) })
  }, 1000 / options.requestsPerSecond)

  const healthTimer = setInterval(() => { void checkHealth() }, healthIntervalMs)

  return {
    async stop () {
      clearInterval(timer)
      clearInterval(healthTimer)
      await Promise.all(inFlight)
      return { failures, requests }
    }
  }
}
