import test from 'ava';
import {ConfigurationHolder} from '#dispatch';
import {parseConfiguration} from '#settings';

const configuration = parseConfiguration(
  {base: '[services.tally]\n', overlays: {}},
  'site',
).unsafeCoerce();

test('callers wait for the first configuration only until the deadline', async t => {
  const starting = new ConfigurationHolder(performance.now() + 5000);
  const found = starting.find();
  starting.set(configuration);
  t.is(await found, configuration);
  t.is(await starting.find(), configuration);
  const late = new ConfigurationHolder(performance.now() + 30);
  t.is(await late.find(), undefined);
  t.is(await late.find(), undefined);
});
