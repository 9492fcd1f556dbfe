/** A measured point: x is the driver's value, y the cost. */
export interface Point {
  readonly x: number;
  readonly y: number;
}

/** A least-squares line. */
export interface LineFit {
  readonly slope: number;
  readonly intercept: number;
  /** Root mean square of the differences in y between the points and the line. */
  readonly residual: number;
}

/** Fits a line by least squares; needs at least two different values of x. */
export function computeLineFit(points: readonly Point[]): LineFit {
  const meanX = computeMean(points.map(({x}) => x));
  const meanY = computeMean(points.map(({y}) => y));
  const squaredDeviations = computeSum(points.map(({x}) => (x - meanX) ** 2));
  const crossProducts = computeSum(
    points.map(({x, y}) => (x - meanX) * (y - meanY)),
  );
  const slope = crossProducts / squaredDeviations;
  const intercept = meanY - slope * meanX;
  const squaredResiduals = points.map(
    ({x, y}) => (y - intercept - slope * x) ** 2,
  );
  return {slope, intercept, residual: Math.sqrt(computeMean(squaredResiduals))};
}

function computeSum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function computeMean(values: readonly number[]): number {
  return computeSum(values) / values.length;
}
