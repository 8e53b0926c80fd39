/** Metrics interface of a process. The names come from the metric catalogue. */
import type { MetricName } from './metricCatalogue.ts'

export type MetricTags = Readonly<Record<string, string>>

export interface Metrics {
  /** Adds `value` to a counter; 1 when omitted. */
  increment (name: MetricName, value?: number, tags?: MetricTags): void
  gauge (name: MetricName, value: number, tags?: MetricTags): void
  /** Records a duration in ms. */
  timing (name: MetricName, durationMs: number, tags?: MetricTags): void
  close (): Promise<void>
}

/** Metrics that are discarded, for tests and for processes without a StatsD agent. */
export const silentMetrics: Metrics = {
  increment () {},
  gauge () {},
  timing () {},
  close: async () => {}
}
