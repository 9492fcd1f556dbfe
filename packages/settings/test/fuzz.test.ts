import test from 'ava';
import fc from 'fast-check';
import {stringify} from 'smol-toml';
import {
  checkConfigurationSource,
  describeSettingsError,
  diffConfiguration,
  extractConfigurationSource,
  parseConfiguration,
  parseProcessSettings,
} from '#settings';
import {minimalEntrySettings} from './text.js';

const seed = 20261204;

const words = [
  ...['process', 'entry', 'agent', 'control', 'limits', 'services', 'teams'],
  ...['tally', 'demand', 'cores', 'members', 'id', 'leases', 'max_task_ms'],
  ...['=', '[', ']', '[[', ']]', '{', '}', '"', '\n', '.', ',', '-', '#'],
  ...['nan', 'inf', '1e999', '9007199254740993', '1979-05-27', '\0', '\uFEFF'],
];
const text = fc.oneof(
  fc.string({unit: 'binary'}),
  fc.array(fc.constantFrom(...words), {maxLength: 30}).map(all => all.join('')),
  fc
    .array(fc.constantFrom(...words), {maxLength: 30})
    .map(all => all.join(' ')),
);

/** Tables with valid and invalid keys at any depth, and values of every kind. */
const value = fc.letrec(tie => ({
  any: fc.oneof(
    {maxDepth: 4},
    fc.constantFrom(-1, 0, 1, 1000, 1.5, NaN, Infinity, 'probe', '', true),
    fc.constantFrom('127.0.0.1:1', 'http://h', new Date(0), 'a b'),
    fc.array(tie('any'), {maxLength: 3}),
    tie('table'),
  ),
  table: fc.dictionary(
    fc.constantFrom(...words.slice(0, 14), 'a"b', 'é'),
    tie('any'),
    {maxKeys: 5},
  ),
}));

const runs = {seed, numRuns: 2000};

test('arbitrary text never makes parsing throw', t => {
  fc.assert(
    fc.property(text, text, (settings, overlay) => {
      const texts = {
        settings: {text: `${minimalEntrySettings}${settings}`, origin: 'base'},
        overlay: {text: overlay, origin: 'over'},
      };
      for (const role of ['control', 'entry', 'agent'] as const) {
        const outcome = parseProcessSettings(texts, role);
        outcome.swap().orDefault([]).forEach(describeSettingsError);
      }
      extractConfigurationSource(settings, {a: overlay}).chain(
        checkConfigurationSource,
      );
    }),
    runs,
  );
  t.pass();
});

test('arbitrary tables never make checking throw', t => {
  fc.assert(
    fc.property(value.table, value.table, (base, overlay) => {
      const overlays = {a: stringify(overlay)};
      const source = {base: stringify(base), overlays};
      checkConfigurationSource(source)
        .swap()
        .orDefault([])
        .forEach(describeSettingsError);
    }),
    runs,
  );
  t.pass();
});

const service = fc.record(
  {
    max_task_ms: fc.integer({min: 1, max: 3_600_000}),
    max_placements: fc.integer({min: 1, max: 1000}),
  },
  {requiredKeys: []},
);
const services = fc.dictionary(
  fc.constantFrom('tally', 'renewal', 'x-1'),
  service,
);

test('a site takes each value from its overlay, else from the base, else from the defaults', t => {
  fc.assert(
    fc.property(services, services, (base, overlay) => {
      const known = Object.entries(overlay).filter(([name]) => name in base);
      const source = {
        base: stringify({services: base}),
        overlays: {a: stringify({services: Object.fromEntries(known)})},
      };
      const parse = (site: string) =>
        checkConfigurationSource(source)
          .chain(checked => parseConfiguration(checked, site))
          .unsafeCoerce();
      const expected = Object.entries(base).map(([name, stated]) => {
        const merged = {...stated, ...Object.fromEntries(known)[name]};
        return [name, merged.max_task_ms ?? 10_000, merged.max_placements ?? 5];
      });
      t.deepEqual(
        parse('a').services.map(each => [
          each.name,
          each.maxTaskMs,
          each.maxPlacements,
        ]),
        expected,
      );
      t.deepEqual(diffConfiguration(parse('b'), parse('c')), []);
    }),
    {seed, numRuns: 300},
  );
});

test('deep nesting is refused without throwing', t => {
  const dots = Array.from({length: 20_000}, () => 'a').join('.');
  const brackets = '['.repeat(20_000);
  for (const base of [
    `[${dots}]`,
    `metrics.host.${dots} = 1`,
    `a = ${brackets}`,
  ]) {
    t.true(checkConfigurationSource({base, overlays: {}}).isLeft());
  }
});
