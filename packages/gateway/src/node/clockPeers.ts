/**
 * Differences of the wall clocks of other routers' VMs to the one of this VM. They are
 * measured with the loan messages, and go into the report of this process. After a power
 * loss its successor compares them with the differences that it finds.
 */
import { Agent } from 'undici'
import * as z from 'zod/mini'
import type { ClockPeer } from '@buckthorndrift/policy'
import type { LoanClient } from './loanClient.ts'

/** Age up to which a measured difference is reported. */
const maxAgeMs = 5000
/** Longest exchange from which a difference is taken; the error is at most half of it. */
const maxExchangeMs = 60
const clockTimeoutMs = 300

export const clockPath = '/clock'
const clockSchema = z.object({ node: z.string(), wallMs: z.number() })
export type ClockAnswer = z.infer<typeof clockSchema>

interface Measurement extends ClockPeer {
  readonly atMs: number
}

export interface ClockPeersOptions {
  /** Address at which other routers reach this one. */
  readonly address: string
  wallMs (): number
  monotonicMs (): number
}

/** The node of a holder id `<node>.<incarnation>`. */
function nodeOf (holder: string): string {
  return holder.slice(0, holder.lastIndexOf('.'))
}

export class ClockPeers {
  readonly #options: ClockPeersOptions
  readonly #measurements = new Map<string, Measurement>()

  constructor (options: ClockPeersOptions) {
    this.#options = options
  }

  /** Peers whose clocks were compared a short time ago, by node. */
  recent (): Readonly<Record<string, ClockPeer>> {
    const sinceMs = this.#options.monotonicMs() - maxAgeMs
    const peers: Record<string, ClockPeer> = {}
    for (const [node, { address, offsetMs, atMs }] of this.#measurements) if (atMs >= sinceMs) peers[node] = { address, offsetMs }
    return peers
  }

  /** Records the clock of a borrower from its message. */
  recordBorrower (holder: string, address: string | undefined, wallMs: number | undefined): void {
    if (address === undefined || wallMs === undefined) return
    this.#record(nodeOf(holder), address, wallMs - this.#options.wallMs())
  }

  /** Adds the clock of this VM to each message to a lender, and records the one of the lender from the reply. */
  stamp (client: LoanClient): LoanClient {
    const { address, wallMs, monotonicMs } = this.#options
    return {
      requestLoan: async (lenderAddress, request) => {
        const [sentWallMs, sentMs] = [wallMs(), monotonicMs()]
        const result = await client.requestLoan(lenderAddress, { ...request, address, wallMs: sentWallMs })
        const durationMs = monotonicMs() - sentMs
        const reply = result.isOk() && result.value.kind === 'lent' ? result.value : undefined
        if (reply?.lender !== undefined && reply.wallMs !== undefined && durationMs <= maxExchangeMs) {
          this.#record(nodeOf(reply.lender), lenderAddress, reply.wallMs - sentWallMs - durationMs / 2)
        }
        return result
      },
      close: () => client.close()
    }
  }

  #record (node: string, address: string, offsetMs: number): void {
    this.#measurements.set(node, { address, offsetMs: Math.round(offsetMs), atMs: this.#options.monotonicMs() })
  }
}

/** Asks the peers of a report for their clocks. Returns the differences to the own wall clock, by node, of those that respond. */
export async function measureOffsets (peers: Readonly<Record<string, ClockPeer>>, wallMs: () => number): Promise<Readonly<Record<string, number>>> {
  const agent = new Agent({ connect: { timeout: clockTimeoutMs } })
  const offsets: Record<string, number> = {}
  await Promise.all(Object.entries(peers).map(async ([node, { address }]) => {
    try {
      const sentMs = wallMs()
      const response = await agent.request({ origin: `http://${address}`, path: clockPath, method: 'GET', signal: AbortSignal.timeout(clockTimeoutMs) })
      const answer = clockSchema.safeParse(await response.body.json()).data
      const receivedMs = wallMs()
      if (answer?.node === node && receivedMs - sentMs <= maxExchangeMs) offsets[node] = answer.wallMs - (sentMs + receivedMs) / 2
    } catch {
      // A peer that does not respond is no witness; the caller asks again.
    }
  }))
  await agent.destroy()
  return offsets
}
