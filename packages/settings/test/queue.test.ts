import test from 'ava';
import {describeSettingsError, parseConfiguration} from '#settings';

const service = '[services.tally]\n';

function buildQueue(name: string, changes = ''): string {
  return `[queues.${name}]\nservice = "tally"\nhost = "h"\npath = "/${name}/"\ntimeout_ms = 1500\n${changes}`;
}

function parse(base: string) {
  return parseConfiguration({base, overlays: {}}, 'site');
}

test('a queue is completed with defaults', t => {
  const {queues} = parse(service + buildQueue('a')).unsafeCoerce();
  t.deepEqual(queues, [
    {
      name: 'a',
      service: 'tally',
      host: 'h',
      path: '/a/',
      priority: 0,
      maxAttempts: 3,
      timeoutMs: 1500,
      objective: {stretch: 1.5, slackMs: 100},
    },
  ]);
});

test('queues with an unknown service, a duplicate host and path, or invalid values are refused', t => {
  const other = buildQueue('b').replace('/b/', '/a/');
  const cases: readonly (readonly [string, RegExp])[] = [
    [buildQueue('a'), /queues\.a\.service.*described service/],
    [service + buildQueue('a') + other, /queues\.b\.path.*queue "a"/],
    [service + buildQueue('a', 'priority = -1\n'), /queues\.a\.priority/],
    [
      service + buildQueue('a').replace('"/a/"', '"a"'),
      /queues\.a\.path.*begins with/,
    ],
  ];
  for (const [base, expected] of cases) {
    const errors = parse(base).swap().orDefault([]);
    t.regex(errors.map(describeSettingsError).join('\n'), expected);
  }
});
