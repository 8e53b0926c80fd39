/** Configurations of a small deployment, as the operator writes them. */
import { host } from './fleet.mjs'

const base = { host, public: false, sticky_sessions: false, resume_streams: false }

/** Routes of the stand-in deployment: a resumable stream, a safe lookup and a booking. */
export const routes = [
  { ...base, name: 'question', path_prefix: '/ask/', kind: 'streaming', service: 'writer', timeout_ms: 15_000, target_latency_ms: 400, target_gap_ms: 300, attempts: 2, priority: 0, sticky_sessions: true, resume_streams: true },
  { ...base, name: 'reading', path_prefix: '/read/', kind: 'safe', service: 'bookings', timeout_ms: 2500, target_latency_ms: 193, attempts: 2, priority: 2 },
  { ...base, name: 'booking', path_prefix: '/book/', kind: 'non_idempotent', service: 'bookings', timeout_ms: 2500, target_latency_ms: 193, attempts: 1, priority: 2 }
]

export function configuration ({ version = 1, tenants = [{ name: 'walkers', api_keys: ['key-walkers'], prepaid: 10_000_000 }] } = {}) {
  return {
    version,
    routes,
    services: [
      { name: 'writer', health_check_path: '/health', connection_limit: 360, engine: { slots: 64, kv_cache_tokens: 684_693, stride: 5, most: 12 } },
      { name: 'bookings', health_check_path: '/health', connection_limit: 100 }
    ],
    limits: { max_header_bytes: 16_384, max_body_bytes: 1_048_576, header_timeout_ms: 3000, idle_timeout_ms: 15_000 },
    tenants
  }
}

/** Headers of a request to the model service. */
export function generation (promptTokens, maxOutputTokens, part) {
  return { 'X-Model': 'm', 'X-Token-Counts': `${promptTokens},${maxOutputTokens}`, 'X-Prompt-Prefix': `5c1e07a2:${promptTokens - 10},${part}:10` }
}
