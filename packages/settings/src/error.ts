import {failUnreachable} from '#model';

/** An error in a settings or configuration text. `origin` names the text. */
export type SettingsError =
  | {
      readonly kind: 'unreadable';
      readonly origin: string;
      readonly detail: string;
    }
  | {
      readonly kind: 'syntax';
      readonly origin: string;
      readonly line: number;
      readonly column: number;
      readonly detail: string;
    }
  | {
      readonly kind: 'unknown-key';
      readonly origin: string;
      readonly key: string;
      /** The most similar valid key, if any is close enough. */
      readonly nearest?: string;
      /** Every key that is valid in the same table. */
      readonly valid: readonly string[];
    }
  | {
      readonly kind: 'wrong-value';
      readonly origin: string;
      readonly key: string;
      readonly expected: string;
      readonly found: string;
    }
  | {
      readonly kind: 'missing-key';
      readonly origin: string;
      readonly key: string;
      readonly expected: string;
    };

/** Formats an error as one line: the text, the key, the expected value and the value found. */
export function describeSettingsError(error: SettingsError): string {
  switch (error.kind) {
    case 'unreadable':
      return `${error.origin} cannot be read: ${error.detail}`;
    case 'syntax':
      return `${error.origin} is not TOML at line ${error.line}, column ${error.column}: ${error.detail}`;
    case 'unknown-key':
      return `${error.origin} sets unknown key "${error.key}" (${describeValidKeys(error.nearest, error.valid)})`;
    case 'wrong-value':
      return `${error.origin} sets key "${error.key}" to ${error.found}, expected ${error.expected}`;
    case 'missing-key':
      return `${error.origin} lacks key "${error.key}", expected ${error.expected}`;
    default:
      return failUnreachable(error);
  }
}

function describeValidKeys(
  nearest: string | undefined,
  valid: readonly string[],
): string {
  if (nearest !== undefined) return `did you mean "${nearest}"?`;
  if (valid.length === 0) return 'no key is valid here';
  return `valid keys: ${valid.join(', ')}`;
}
