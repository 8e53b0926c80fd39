/** Metrics of a process. Names are listed in docs/metrics.md. */

export type MetricTags = Readonly<Record<string, string>>

export interface Metrics {
  increment (name: string, value?: number, tags?: MetricTags): void
  gauge (name: string, value: number, tags?: MetricTags): void
  /** Records a duration in ms. */
  timing (name: string, durationMs: number, tags?: MetricTags): void
  close (): Promise<void>
}

export const silentMetrics: Metrics = {
  increment () {},
  gauge () {},
  timing () {},
  close: async () => {}
}
