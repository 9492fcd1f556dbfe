/** How much a process takes in from the clients of all its doors together. */
export interface IntakeSettings {
  /** Memory that bodies and messages may hold before they are complete. */
  readonly maxHeldBytes: number;
  /** Pieces in which the bodies that are not complete may have arrived. */
  readonly maxHeldChunks: number;
  /** How long a body may take, in ms. */
  readonly maxBodyMs: number;
  /** How long a body may take whatever its size, in ms. */
  readonly bodyGraceMs: number;
  /** Beyond the grace, a body has as much time as it takes at this rate. */
  readonly minBodyBytesPerSecond: number;
  /** How long the headers of a request may take, in ms. */
  readonly maxHeaderMs: number;
  readonly maxConnections: number;
  readonly maxConnectionsPerAddress: number;
  /** Requests that one connection may have open. */
  readonly maxPipelinedRequests: number;
  /** Requests that may be open in all. */
  readonly maxRequests: number;
}

export const defaultIntake: IntakeSettings = {
  maxHeldBytes: 24 * 1024 * 1024,
  maxHeldChunks: 400_000,
  maxBodyMs: 60_000,
  bodyGraceMs: 20_000,
  minBodyBytesPerSecond: 1000,
  maxHeaderMs: 20_000,
  maxConnections: 1600,
  maxConnectionsPerAddress: 1600,
  maxPipelinedRequests: 64,
  maxRequests: 20_000,
};
