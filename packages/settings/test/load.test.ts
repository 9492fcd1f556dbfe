import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import test from 'ava';
import {
  checkConfigurationSource,
  extractConfigurationSource,
  loadProcessSettings,
  parseConfiguration,
  parseProcessSettings,
  type Role,
} from '#settings';
import {minimalEntrySettings, listErrors} from './text.js';

const parse = (
  settings: string,
  role: Role['kind'] = 'entry',
  overlay?: string,
) =>
  parseProcessSettings(
    {
      settings: {text: settings, origin: 'settings'},
      ...(overlay !== undefined && {
        overlay: {text: overlay, origin: 'the overlay'},
      }),
    },
    role,
  );

function writeAndUse<Result>(
  content: string | Uint8Array,
  use: (file: string) => Result,
): Result {
  const folder = mkdtempSync(join(tmpdir(), 'settings-'));
  const file = join(folder, 'settings.toml');
  try {
    writeFileSync(file, content);
    return use(file);
  } finally {
    rmSync(folder, {recursive: true});
  }
}

const loadAndListErrors = (content: string | Uint8Array) =>
  writeAndUse(content, file =>
    listErrors(loadProcessSettings({settings: file}, 'entry')).map(error =>
      error.replace(file, 'FILE'),
    ),
  );

test('defaults complete minimal settings', t => {
  t.deepEqual(parse(minimalEntrySettings).unsafeCoerce().process, {
    id: 'entry-1',
    place: {
      site: 'gilgit',
      region: 'karakoram',
      failureDomain: 'a',
      rack: 'none',
    },
    controls: ['127.0.0.1:7100'],
    logLevel: 'info',
    leases: {
      entryLeaseMs: 3000,
      targetLeaseMs: 6000,
      renewalIntervalMs: 1000,
      clockMarginMs: 250,
    },
    role: {
      kind: 'entry',
      http: '127.0.0.1:8080',
      listen: '127.0.0.1:7200',
      drainMs: 30_000,
    },
  });
});

test('an overlay of a process may complete its settings', t => {
  const overlay = '[process]\nid = "entry-2"\n[limits]\nretention_ms = 5000';
  const loaded = parse(minimalEntrySettings, 'entry', overlay).unsafeCoerce();
  t.is(loaded.process.id, 'entry-2');
  const {limits} = parseConfiguration(
    loaded.configuration,
    'gilgit',
  ).unsafeCoerce();
  t.is(limits.retentionMs, 5000);
});

test('errors of the settings and of the overlay are reported together', t => {
  const errors = listErrors(parse('a = 1', 'entry', 'b = 2'));
  t.deepEqual(
    errors.map(error => error.replace(/ \(.*/, '')),
    ['settings sets unknown key "a"', 'the overlay sets unknown key "b"'],
  );
});

test('every missing key of the role is reported', t => {
  const errors = listErrors(parse('', 'control'));
  const keys = errors.map(error => /lacks key "(.*?)"/.exec(error)?.[1]);
  t.deepEqual(keys, [
    'process.id',
    'process.site',
    'process.region',
    'process.failure_domain',
    'control.listen',
    'control.data',
  ]);
});

const refusedOverlays: ReadonlyArray<
  readonly [string, Role['kind'], string, string]
> = [
  ['another role', 'entry', '[process]\nrole = "agent"', 'process.role'],
  [
    'a renewal interval that leaves no time for a retry',
    'entry',
    '[leases]\nrenewal_interval_ms = 1500',
    'leases.renewal_interval_ms',
  ],
  [
    'an agent with two kinds of target',
    'agent',
    `[agent]
listen = "127.0.0.1:0"
service = "tally"
url = "http://127.0.0.1:9000"
[agent.executor]
slots = 8
max_connections = 60
[agent.worker]
cores = 1
memory_mb = 1`,
    'agent',
  ],
  [
    'a control group without this replica',
    'control',
    `[control]
listen = "127.0.0.1:0"
data = "d"
members = [{member = "a", address = "127.0.0.1:1"}]`,
    'control.members',
  ],
  [
    'an even number of voters',
    'control',
    `[control]
listen = "127.0.0.1:0"
data = "d"
voters = 4
members = [{member = "entry-1", address = "127.0.0.1:1"}]`,
    'control.voters',
  ],
  [
    'an address that others cannot dial',
    'entry',
    '[entry]\nlisten = "0.0.0.0:1"',
    'entry.listen',
  ],
  [
    'two members of one address',
    'entry',
    '[control]\nmembers = [{member = "a", address = "127.0.0.1:1"}, {member = "b", address = "127.0.0.1:1"}]',
    'control.members',
  ],
  [
    'a host name for an address',
    'entry',
    '[process]\ncontrols = ["localhost:7100"]',
    'process.controls',
  ],
];

for (const [what, role, overlay, key] of refusedOverlays) {
  test(`${what} is refused`, t => {
    const errors = listErrors(parse(minimalEntrySettings, role, overlay));
    t.is(errors.length, 1, errors.join('\n'));
    t.regex(errors[0]!, new RegExp(`sets key "${key}" to .*, expected `));
  });
}

test('an entry may listen on all addresses when it advertises one', t => {
  const overlay = '[entry]\nlisten = "0.0.0.0:1"\nadvertise = "10.0.0.1:1"';
  const {role} = parse(minimalEntrySettings, 'entry', overlay).unsafeCoerce()
    .process;
  t.is(role.kind === 'entry' && role.advertise, '10.0.0.1:1');
});

test('a byte-order mark and an empty overlay are accepted', t => {
  t.deepEqual(loadAndListErrors(`\uFEFF${minimalEntrySettings}`), []);
  t.true(parse(minimalEntrySettings, 'entry', '').isRight());
});

test('an empty file is refused for missing keys', t => {
  t.regex(loadAndListErrors('')[0]!, /^settings "FILE" lacks key "process.id"/);
});

test('a path that is not a readable text file is refused with the cause', t => {
  const load = (settings: string) =>
    listErrors(loadProcessSettings({settings}, 'entry'));
  t.deepEqual(load(tmpdir()), [
    `settings "${tmpdir()}" cannot be read: expected a file, found a folder`,
  ]);
  t.deepEqual(load('no/such.toml'), [
    'settings "no/such.toml" cannot be read: no such file',
  ]);
  t.deepEqual(loadAndListErrors(Uint8Array.of(0xff, 0xfe, 0x00)), [
    'settings "FILE" cannot be read: not UTF-8 text',
  ]);
});

test('the overlay file is named in its own errors', t => {
  writeAndUse(minimalEntrySettings, settings => {
    const errors = listErrors(
      loadProcessSettings({settings, overlay: 'no/such.toml'}, 'entry'),
    );
    t.deepEqual(errors, [
      'overlay "no/such.toml" cannot be read: no such file',
    ]);
  });
});

const exampleSites = ['gilgit', 'mazowsze'];
const exampleRoles = [
  ['control-1', 'control'],
  ['entry-1', 'entry'],
  ['executor-1', 'agent'],
  ['worker-1', 'agent'],
] as const;

for (const site of exampleSites) {
  for (const [file, role] of exampleRoles) {
    test(`the example ${site}/${file} loads`, t => {
      const files = {
        settings: `examples/${site}/site.toml`,
        overlay: `examples/${site}/${file}.toml`,
      };
      const loaded = loadProcessSettings(files, role);
      t.deepEqual(listErrors(loaded), []);
      t.is(loaded.unsafeCoerce().process.place.site, site);
    });
  }
}

test('the example base and overlays are valid as a whole', t => {
  const overlays = Object.fromEntries(
    exampleSites.map(site => [
      site,
      readFileSync(`examples/${site}/overlay.toml`, 'utf8'),
    ]),
  );
  const source = extractConfigurationSource(
    readFileSync('examples/base.toml', 'utf8'),
    overlays,
  ).chain(checkConfigurationSource);
  t.deepEqual(listErrors(source), []);
  const gilgit = parseConfiguration(source.unsafeCoerce(), 'gilgit');
  t.is(gilgit.unsafeCoerce().limits.maxDeadlineMs, 60_000);
});
