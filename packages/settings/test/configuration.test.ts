import test from 'ava';
import {
  checkConfigurationSource,
  diffConfiguration,
  extractConfigurationSource,
  findRepeatedKeys,
  parseConfiguration,
} from '#settings';
import {listErrors} from './text.js';

const base = `
[services.tally]
max_task_ms = 5000
[teams.crossings]
tasks_per_second = 10
`;
const withOverlay = (overlay: string, text = base) => ({
  base: text,
  overlays: {gilgit: overlay},
});
const parseAt = (overlay: string) =>
  parseConfiguration(withOverlay(overlay), 'gilgit');

test('an empty configuration has default limits and nothing else', t => {
  const configuration = parseConfiguration({base: '', overlays: {}}, 'gilgit');
  t.deepEqual(configuration.extract(), {
    services: [],
    teams: [],
    regions: [],
    queues: [],
    limits: {
      maxTasksPerJob: 1000,
      maxBodyBytes: 4 * 1024 * 1024,
      maxDeadlineMs: 600_000,
      retentionMs: 120_000,
      unrepeatableRetentionMs: 86_400_000,
      maxQueuedTasks: 50_000,
    },
  });
});

test('an overlay applies only at its own site', t => {
  const source = withOverlay(
    '[services.tally]\nplacement = "probe"\nprobes_per_task = 3',
  );
  const at = (site: string) =>
    parseConfiguration(source, site).unsafeCoerce().services[0]!;
  t.deepEqual(at('gilgit').placement, {kind: 'probe', probesPerTask: 3});
  t.is(at('gilgit').maxTaskMs, 5000);
  t.is(at('mazowsze').placement, undefined);
});

test('the error for an unknown key suggests the most similar valid one', t => {
  t.deepEqual(listErrors(parseAt('[servise.tally]\nmax_task_ms = 1')), [
    'overlay "gilgit" sets unknown key "servise.tally" (did you mean "services.tally"?)',
  ]);
  t.deepEqual(listErrors(parseAt('[services.tally]\nmax_task = 1')), [
    'overlay "gilgit" sets unknown key "services.tally.max_task" (did you mean "services.tally.max_task_ms"?)',
  ]);
});

test('an overlay may set only services that the base defines', t => {
  t.deepEqual(listErrors(parseAt('[services.tallly]\nmax_task_ms = 1')), [
    'overlay "gilgit" sets unknown key "services.tallly" (did you mean "services.tally"?)',
  ]);
});

test("an overlay may not set a team's home region", t => {
  t.deepEqual(listErrors(parseAt('[teams.crossings]\nhome_region = "b"')), [
    'overlay "gilgit" sets key "teams.crossings.home_region" to "b", expected it in the base file only',
  ]);
});

const wrongValues: ReadonlyArray<readonly [string, string]> = [
  ['max_task_ms = -1', '-1'],
  ['max_task_ms = 0', '0'],
  ['max_task_ms = nan', 'NaN'],
  ['max_task_ms = inf', 'Infinity'],
  ['max_task_ms = 1e300', '1e+300'],
  ['max_task_ms = 1.5', '1.5'],
  ['max_task_ms = "5"', '"5"'],
  ['max_task_ms = [5, [6]]', '[5, […]]'],
  ['max_task_ms = {a = {b = 1}}', '{a = {…}}'],
  ['max_task_ms = true', 'true'],
  ['max_task_ms = 1979-05-27', 'the date 1979-05-27'],
];

for (const [line, found] of wrongValues) {
  test(`the error for "${line}" says what was expected and found`, t => {
    t.deepEqual(listErrors(parseAt(`[services.tally]\n${line}`)), [
      `overlay "gilgit" sets key "services.tally.max_task_ms" to ${found}, expected a whole number of ms from 1 to 3600000`,
    ]);
  });
}

test('a required key that is absent from base and overlay is reported', t => {
  const source = withOverlay('', '[teams.crossings]\nweight = 1');
  t.deepEqual(listErrors(parseConfiguration(source, 'gilgit')), [
    'base file with overlay "gilgit" lacks key "teams.crossings.tasks_per_second", expected a number of tasks a second above 0, at most 1073741824',
  ]);
});

test('a source is checked with and without each overlay', t => {
  const source = {
    base,
    overlays: {
      gilgit: '[limits]\nretention = 1',
      mazowsze: '',
      'no site': 'x = ',
    },
  };
  const errors = listErrors(checkConfigurationSource(source));
  t.is(errors.length, 3);
  t.regex(errors[0]!, /^overlay "no site" sets key "site"/);
  t.regex(errors[1]!, /^overlay "gilgit" sets unknown key "limits.retention"/);
  t.regex(errors[2]!, /^overlay "no site" is not TOML at line 1, column/);
  t.true(checkConfigurationSource(withOverlay('')).isRight());
});

test('a duplicate key is refused with its line and column', t => {
  const text = '[limits]\nretention_ms = 1000\nretention_ms = 2000';
  t.regex(
    listErrors(parseConfiguration({base: text, overlays: {}}, 'gilgit'))[0]!,
    /^base file is not TOML at line 3, column 1: /,
  );
});

test('keys named after prototype members are refused', t => {
  for (const key of [
    '__proto__',
    'constructor',
    'toString',
    'hasOwnProperty',
  ]) {
    t.is(listErrors(parseAt(`[${key}]\nx = 1`)).length, 1, key);
    t.is(listErrors(parseAt(`[services.${key}]`)).length, 1, key);
  }
});

test('extraction drops process tables and keeps the rest', t => {
  const overlays = {gilgit: '[process]\nid = "x"', mazowsze: '[limits]'};
  const mixed = `${base}[process]\nid = "entry-1"\n[typo]\n`;
  const source = extractConfigurationSource(mixed, overlays).unsafeCoerce();
  t.notRegex(source.base, /process/);
  t.deepEqual(source.overlays, {mazowsze: '[limits]'});
  t.regex(
    listErrors(checkConfigurationSource(source))[0]!,
    /unknown key "typo"/,
  );
});

test('a base without process tables is kept verbatim, including comments', t => {
  const text = `# why\n${base}`;
  t.is(extractConfigurationSource(text, {}).unsafeCoerce().base, text);
});

test('a difference lists added, removed and changed keys', t => {
  const parse = (text: string) =>
    parseConfiguration({base: text, overlays: {}}, 'gilgit').unsafeCoerce();
  const after = `
[services.tally]
max_task_ms = 6000
placement = "probe"
[teams.pilots]
tasks_per_second = 5
`;
  t.deepEqual(diffConfiguration(parse(base), parse(after)), [
    '~ services.tally.max_task_ms = 5000 -> 6000',
    '+ services.tally.placement = "probe"',
    '+ services.tally.probes_per_task = 2',
    '- teams.crossings.burst_tasks = 10',
    '- teams.crossings.tasks_per_second = 10',
    '- teams.crossings.weight = 1',
    '+ teams.pilots.burst_tasks = 5',
    '+ teams.pilots.tasks_per_second = 5',
    '+ teams.pilots.weight = 1',
  ]);
});

// Guards against a difference that is empty although a queue was added, removed or moved to another path.
test('a difference lists the changes of queues, also when a name moves to another path', t => {
  const parse = (queues: string) =>
    parseConfiguration(
      {base: `[services.tally]\n${queues}`, overlays: {}},
      'gilgit',
    ).unsafeCoerce();
  const buildQueue = (name: string, path: string, changes = '') =>
    `[queues."${name}"]\nservice = "tally"\nhost = "h"\npath = "${path}"\ntimeout_ms = 1500\n${changes}`;
  const before = parse(buildQueue('a', '/p/') + buildQueue('a.b', '/q/'));
  const swapped = parse(buildQueue('a', '/q/') + buildQueue('a.b', '/p/'));
  t.deepEqual(diffConfiguration(before, swapped), [
    '~ queues."a.b".path = "/q/" -> "/p/"',
    '~ queues.a.path = "/p/" -> "/q/"',
  ]);
  const late = parse(buildQueue('a', '/p/', 'late_jobs = "avoid"\n'));
  t.deepEqual(diffConfiguration(before, late), [
    '- queues."a.b".host = "h"',
    '- queues."a.b".late_jobs = "serve"',
    '- queues."a.b".max_attempts = 3',
    '- queues."a.b".path = "/q/"',
    '- queues."a.b".priority = 0',
    '- queues."a.b".service = "tally"',
    '- queues."a.b".slack_ms = 100',
    '- queues."a.b".stretch = 1.5',
    '- queues."a.b".timeout_ms = 1500',
    '- queues."a.b".urgent_runs = "wait"',
    '~ queues.a.late_jobs = "serve" -> "avoid"',
  ]);
});

test('two tables of one name, and a name that every object has as a property, are refused', t => {
  const check = (base: string) =>
    listErrors(checkConfigurationSource({base, overlays: {}})).join('\n');
  t.regex(check('[services.tally]\n[services.tally]\n'), /redefine/);
  t.regex(check('[services.constructor]\n'), /unsafe property/);
});

test('keys of an overlay that repeat the base are found', t => {
  const source = withOverlay(
    '[services.tally]\nmax_task_ms = 5000\nmax_placements = 2',
  );
  t.deepEqual(findRepeatedKeys(source), [
    {site: 'gilgit', key: 'services.tally.max_task_ms', value: '5000'},
  ]);
});

test('with regions defined, every team needs one of them as its home', t => {
  const regions = '[regions.north]\nentries = ["10.0.0.1:7000"]\n';
  const check = (home: string) =>
    listErrors(
      checkConfigurationSource({
        base: `${regions}[teams.crossings]\ntasks_per_second = 10\n${home}`,
        overlays: {},
      }),
    );
  t.deepEqual(check(''), [
    'base file lacks key "teams.crossings.home_region", expected one of the regions "north"',
  ]);
  t.deepEqual(check('home_region = "south"'), [
    'base file sets key "teams.crossings.home_region" to "south", expected one of the regions "north"',
  ]);
  t.deepEqual(check('home_region = "north"'), []);
});
