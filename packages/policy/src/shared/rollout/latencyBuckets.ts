/** Latency histogram with exponential buckets, small enough to be sent every second. */

/** Buckets per doubling of the latency; four give a resolution of 19%. */
const bucketsPerDoubling = 4

/** Number of buckets. The last one begins at 55 s and contains all longer latencies. */
export const latencyBucketCount = 64

/** Index of the bucket that contains a latency. */
export function latencyBucketOf (latencyMs: number): number {
  const bucket = Math.floor(Math.log2(Math.max(1, latencyMs)) * bucketsPerDoubling)
  return Math.min(latencyBucketCount - 1, bucket)
}

/** Index of the bucket that contains the given quantile; 0 without counts. */
export function quantileBucket (buckets: readonly number[], quantile: number): number {
  const total = buckets.reduce((sum, count) => sum + count, 0)
  let seen = 0
  for (const [bucket, count] of buckets.entries()) {
    seen += count
    if (seen >= total * quantile && seen > 0) return bucket
  }
  return 0
}
