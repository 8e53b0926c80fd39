/** Least-squares fit of a line to measured points. */

export interface Point {
  readonly x: number
  readonly y: number
}

export interface LinearFit {
  readonly slope: number
  readonly intercept: number
  /** Root-mean-square error of the fit, as a share of the largest absolute y value. */
  readonly errorShare: number
}

export function fitLine (points: readonly Point[]): LinearFit {
  const count = points.length
  const meanX = points.reduce((sum, point) => sum + point.x, 0) / count
  const meanY = points.reduce((sum, point) => sum + point.y, 0) / count
  const covariance = points.reduce((sum, point) => sum + (point.x - meanX) * (point.y - meanY), 0)
  const variance = points.reduce((sum, point) => sum + (point.x - meanX) ** 2, 0)
  const slope = covariance / variance
  const intercept = meanY - slope * meanX
  const squares = points.reduce((sum, point) => sum + (point.y - intercept - slope * point.x) ** 2, 0)
  const largest = Math.max(...points.map(point => Math.abs(point.y)))
  return { slope, intercept, errorShare: Math.sqrt(squares / count) / largest }
}
