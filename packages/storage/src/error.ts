/** Why a data folder cannot be used or a write did not last. Nothing was acknowledged. */
export type StoreError =
  /** Another live process holds the folder. */
  | {readonly kind: 'in-use'; readonly file: string; readonly pid: number}
  /** A file does not hold what was written there. */
  | {
      readonly kind: 'corrupt';
      readonly file: string;
      readonly offset: number;
      readonly expected: string;
      readonly found: string;
    }
  /** The folder belongs to another replica. */
  | {
      readonly kind: 'wrong-identity';
      readonly file: string;
      readonly expected: string;
      readonly found: string;
    }
  /** The operating system refused. The store takes no more writes. */
  | {readonly kind: 'failed'; readonly file: string; readonly detail: string}
  | {readonly kind: 'closed'};

/** Describes an error for the log in one line. */
export function describeStoreError(error: StoreError): string {
  switch (error.kind) {
    case 'in-use':
      return `${error.file}: the folder is in use by process ${error.pid}`;
    case 'corrupt':
      return `${error.file}: at byte ${error.offset} expected ${error.expected}, found ${error.found}`;
    case 'wrong-identity':
      return `${error.file}: expected the folder of replica "${error.expected}", found that of "${error.found}"`;
    case 'failed':
      return `${error.file}: ${error.detail}`;
    case 'closed':
      return 'the store is closed';
  }
}

/** Turns an operating system's error into a value. */
export function describeFailure(file: string, error: unknown): StoreError {
  const detail = error instanceof Error ? error.message : String(error);
  return {kind: 'failed', file, detail};
}
