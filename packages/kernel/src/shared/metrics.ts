/** Metrics of a process. Names are listed in docs/metrics.md. */
import type { MetricName } from './metricCatalogue.ts'

export type MetricTags = Readonly<Record<string, string>>

export interface Metrics {
  increment (name: MetricName, value?: number, tags?: MetricTags): void
  gauge (name: MetricName, value: number, tags?: MetricTags): void
  /** Records a duration in ms. */
  timing (name: MetricName, durationMs: number, tags?: MetricTags): void
  close (): Promise<void>
}

export const silentMetrics: Metrics = {
  increment () {},
  gauge () {},
  timing () {},
  close: async () => {}
}
