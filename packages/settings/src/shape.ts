import type {Codec} from 'purify-ts/Codec';

/** How a key that is absent after the merge of base and overlay is treated. */
export type Presence<Value> =
  | {readonly kind: 'required'}
  | {readonly kind: 'optional'}
  | {readonly kind: 'default'; readonly value: Value};

/** A key that holds a scalar or an array. */
export interface Leaf<Value, P extends Presence<Value> = Presence<Value>> {
  readonly kind: 'leaf';
  readonly codec: Codec<Value>;
  /** Describes the valid values, unit included. */
  readonly expected: string;
  readonly presence: P;
  /** Whether overlays may not set the key, because it must be the same at every site. */
  readonly baseOnly: boolean;
}

/** A table with fixed keys. An absent table is undefined when optional, otherwise completed with defaults. */
export interface Table<Keys extends Shapes, Optional extends boolean> {
  readonly kind: 'table';
  readonly keys: Keys;
  readonly optional: Optional;
}

/** A table of tables whose keys are names that the operator chooses. */
export interface NamedTables<Each extends Table<Shapes, false>> {
  readonly kind: 'named';
  readonly each: Each;
}

export type Shapes = Readonly<Record<string, Shape>>;
export type Shape =
  // The codec makes Leaf invariant in its value type.
  // eslint-disable-next-line @typescript-eslint/no-explicit-any
  Leaf<any> | Table<Shapes, boolean> | NamedTables<Table<Shapes, false>>;

/** The type of a checked and completed value of a shape. */
export type ValueOf<S> =
  S extends Leaf<infer Value, infer P>
    ? P extends {readonly kind: 'optional'}
      ? Value | undefined
      : Value
    : S extends Table<infer Keys, infer Optional>
      ? Optional extends true
        ? FieldsOf<Keys> | undefined
        : FieldsOf<Keys>
      : S extends NamedTables<infer Each>
        ? readonly NamedValue<ValueOf<Each>>[]
        : never;

type FieldsOf<Keys> = {readonly [K in keyof Keys]: ValueOf<Keys[K]>};

export interface NamedValue<Value> {
  readonly name: string;
  readonly value: Value;
}

/** The codec of a value and a description of the valid values, regardless of the key's presence. */
export interface ValueType<Value> {
  readonly codec: Codec<Value>;
  readonly expected: string;
}

export function declareRequiredKey<Value>(
  type: ValueType<Value>,
): Leaf<Value, {readonly kind: 'required'}> {
  return {...type, kind: 'leaf', presence: {kind: 'required'}, baseOnly: false};
}

export function declareOptionalKey<Value>(
  type: ValueType<Value>,
): Leaf<Value, {readonly kind: 'optional'}> {
  return {...type, kind: 'leaf', presence: {kind: 'optional'}, baseOnly: false};
}

export function declareDefaultedKey<Value>(
  type: ValueType<Value>,
  value: Value,
): Leaf<Value, {readonly kind: 'default'; readonly value: Value}> {
  return {
    ...type,
    kind: 'leaf',
    presence: {kind: 'default', value},
    baseOnly: false,
  };
}

/** Forbids overlays from setting a key that must be the same at every site. */
export function markBaseOnly<Value, P extends Presence<Value>>(
  leaf: Leaf<Value, P>,
): Leaf<Value, P> {
  return {...leaf, baseOnly: true};
}

export function declareTable<Keys extends Shapes>(
  keys: Keys,
): Table<Keys, false> {
  return {kind: 'table', keys, optional: false};
}

export function declareOptionalTable<Keys extends Shapes>(
  keys: Keys,
): Table<Keys, true> {
  return {kind: 'table', keys, optional: true};
}

export function declareNamedTables<Each extends Table<Shapes, false>>(
  each: Each,
): NamedTables<Each> {
  return {kind: 'named', each};
}
