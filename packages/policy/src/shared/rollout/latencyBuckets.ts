/** Latency counts in exponential buckets, small enough to send once a second. */

/** Buckets per doubling; four give a resolution of 19%. */
const bucketsPerDoubling = 4

/** The last bucket begins at 55 s and takes all longer latencies. */
export const latencyBucketCount = 64

/** Bucket of a latency in ms. */
export function latencyBucketOf (latencyMs: number): number {
  const bucket = Math.floor(Math.log2(Math.max(1, latencyMs)) * bucketsPerDoubling)
  return Math.min(latencyBucketCount - 1, bucket)
}

/** Bucket that holds the given quantile; 0 without counts. */
export function quantileBucket (buckets: readonly number[], quantile: number): number {
  const total = buckets.reduce((sum, count) => sum + count, 0)
  let seen = 0
  for (const [bucket, count] of buckets.entries()) {
    seen += count
    if (seen >= total * quantile && seen > 0) return bucket
  }
  return 0
}
