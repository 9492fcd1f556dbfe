/** Why a data folder cannot be used or a write is not durable. Nothing was acknowledged. */
export type StoreError =
  /** Another live process holds the folder. */
  | {readonly kind: 'in-use'; readonly file: string; readonly pid: number}
  /** A file is damaged, incomplete or missing. */
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
  /** The disk has no room. The store accepts no more writes; it can be opened again. */
  | {readonly kind: 'full'; readonly file: string; readonly detail: string}
  /** An operation of the operating system failed. The store accepts no more writes. */
  | {readonly kind: 'failed'; readonly file: string; readonly detail: string}
  | {readonly kind: 'closed'};

/** Formats an error as one line for the log. */
export function describeStoreError(error: StoreError): string {
  switch (error.kind) {
    case 'in-use':
      return `${error.file}: the folder is in use by process ${error.pid}`;
    case 'corrupt':
      return `${error.file}: at byte ${error.offset} expected ${error.expected}, found ${error.found}`;
    case 'wrong-identity':
      return `${error.file}: expected the folder of replica "${error.expected}", found that of "${error.found}"`;
    case 'full':
    case 'failed':
      return `${error.file}: ${error.detail}`;
    case 'closed':
      return 'the store is closed';
  }
}

/** Converts an error of the operating system to a StoreError. */
export function toStoreError(file: string, error: unknown): StoreError {
  const detail = error instanceof Error ? error.message : String(error);
  const {code} = error as NodeJS.ErrnoException;
  const isFull = code === 'ENOSPC' || code === 'EDQUOT';
  return {kind: isFull ? 'full' : 'failed', file, detail};
}
