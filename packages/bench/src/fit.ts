/** A measured point: the driver and the cost. */
export interface Point {
  readonly x: number;
  readonly y: number;
}

/** A straight line through points by least squares. */
export interface Fit {
  readonly slope: number;
  readonly intercept: number;
  /** Root mean square of the points' distances from the line, in the unit of y. */
  readonly residual: number;
}

/** Fits a line; needs two different values of x. */
export function computeLine(points: readonly Point[]): Fit {
  const meanX = computeMean(points.map(({x}) => x));
  const meanY = computeMean(points.map(({y}) => y));
  const spread = computeSum(points.map(({x}) => (x - meanX) ** 2));
  const joint = computeSum(points.map(({x, y}) => (x - meanX) * (y - meanY)));
  const slope = joint / spread;
  const intercept = meanY - slope * meanX;
  const squares = points.map(({x, y}) => (y - intercept - slope * x) ** 2);
  return {slope, intercept, residual: Math.sqrt(computeMean(squares))};
}

function computeSum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function computeMean(values: readonly number[]): number {
  return computeSum(values) / values.length;
}
