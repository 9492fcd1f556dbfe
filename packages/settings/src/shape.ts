import type {Codec} from 'purify-ts/Codec';

/** What holds when a key is absent after base and overlay are merged. */
export type Presence<Value> =
  | {readonly kind: 'required'}
  | {readonly kind: 'optional'}
  | {readonly kind: 'default'; readonly value: Value};

/** A key that holds a scalar or an array. */
export interface Leaf<Value, P extends Presence<Value> = Presence<Value>> {
  readonly kind: 'leaf';
  readonly codec: Codec<Value>;
  /** Names what is valid, unit included. */
  readonly expected: string;
  readonly presence: P;
  /** An overlay may not set it: it must be the same at every site. */
  readonly baseOnly: boolean;
}

/** A table with fixed keys. An absent optional one is undefined; another is completed from defaults. */
export interface Table<Keys extends Shapes, Optional extends boolean> {
  readonly kind: 'table';
  readonly keys: Keys;
  readonly optional: Optional;
}

/** A table whose keys are names that the operator chooses. */
export interface Named<Each extends Table<Shapes, false>> {
  readonly kind: 'named';
  readonly each: Each;
}

export type Shapes = Readonly<Record<string, Shape>>;
export type Shape =
  // The codec makes a leaf invariant in its value.
  // eslint-disable-next-line @typescript-eslint/no-explicit-any
  Leaf<any> | Table<Shapes, boolean> | Named<Table<Shapes, false>>;

/** The checked and completed value that a shape stands for. */
export type ValueOf<S> =
  S extends Leaf<infer Value, infer P>
    ? P extends {readonly kind: 'optional'}
      ? Value | undefined
      : Value
    : S extends Table<infer Keys, infer Optional>
      ? Optional extends true
        ? FieldsOf<Keys> | undefined
        : FieldsOf<Keys>
      : S extends Named<infer Each>
        ? readonly NamedValue<ValueOf<Each>>[]
        : never;

type FieldsOf<Keys> = {readonly [K in keyof Keys]: ValueOf<Keys[K]>};

export interface NamedValue<Value> {
  readonly name: string;
  readonly value: Value;
}

/** A kind of value with its description, before it is said what its absence means. */
export interface Kind<Value> {
  readonly codec: Codec<Value>;
  readonly expected: string;
}

export function requireKey<Value>(
  kind: Kind<Value>,
): Leaf<Value, {readonly kind: 'required'}> {
  return {...kind, kind: 'leaf', presence: {kind: 'required'}, baseOnly: false};
}

export function allowKey<Value>(
  kind: Kind<Value>,
): Leaf<Value, {readonly kind: 'optional'}> {
  return {...kind, kind: 'leaf', presence: {kind: 'optional'}, baseOnly: false};
}

export function fillKey<Value>(
  kind: Kind<Value>,
  value: Value,
): Leaf<Value, {readonly kind: 'default'; readonly value: Value}> {
  return {
    ...kind,
    kind: 'leaf',
    presence: {kind: 'default', value},
    baseOnly: false,
  };
}

/** Bars overlays from setting a key: it must be the same at every site. */
export function keepInBase<Value, P extends Presence<Value>>(
  leaf: Leaf<Value, P>,
): Leaf<Value, P> {
  return {...leaf, baseOnly: true};
}

export function requireTable<Keys extends Shapes>(
  keys: Keys,
): Table<Keys, false> {
  return {kind: 'table', keys, optional: false};
}

export function allowTable<Keys extends Shapes>(keys: Keys): Table<Keys, true> {
  return {kind: 'table', keys, optional: true};
}

export function nameTables<Each extends Table<Shapes, false>>(
  each: Each,
): Named<Each> {
  return {kind: 'named', each};
}
