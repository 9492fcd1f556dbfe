import {mkdtemp, readFile, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join, relative} from 'node:path';
import process from 'node:process';
import test from 'ava';
import {Store} from '#storage';

async function makeFolder() {
  const folder = await mkdtemp(join(tmpdir(), 'wasabiring-store-'));
  return {
    folder,
    [Symbol.asyncDispose]: () => rm(folder, {recursive: true}),
  };
}

const open = (folder: string) => Store.open(join(folder, 'x', 'y'), {id: 'a'});

test('a folder in use is refused and can be opened again once closed', async t => {
  await using made = await makeFolder();
  const first = (await open(made.folder)).unsafeCoerce();
  t.like((await open(made.folder)).extract(), {
    kind: 'in-use',
    pid: process.pid,
  });
  await first[Symbol.asyncDispose]();
  const second = (await open(made.folder)).unsafeCoerce();
  await second[Symbol.asyncDispose]();
});

test('a lock left by a process that ended is replaced, also when its pid is in use again', async t => {
  await using made = await makeFolder();
  const file = join(made.folder, 'x', 'y', 'lock');
  const first = (await open(made.folder)).unsafeCoerce();
  const held = await readFile(file, 'utf8');
  await first[Symbol.asyncDispose]();
  const ended = {...(JSON.parse(held) as object), life: 'an earlier boot'};
  for (const text of [JSON.stringify(ended), '', 'no lock']) {
    await writeFile(file, text);
    const opened = await open(made.folder);
    t.true(opened.isRight(), text);
    await opened.unsafeCoerce()[Symbol.asyncDispose]();
  }
});

test('a folder path may be relative to the working directory', async t => {
  await using made = await makeFolder();
  const folder = relative(process.cwd(), join(made.folder, 'x', 'y'));
  const opened = await Store.open(folder, {id: 'a'});
  t.true(opened.isRight());
  await opened.unsafeCoerce()[Symbol.asyncDispose]();
});

test('entries written to a real folder are recovered', async t => {
  await using made = await makeFolder();
  const store = (await open(made.folder)).unsafeCoerce();
  const command = Buffer.from('x');
  const entry = {kind: 'command', index: 1, term: 1, command} as const;
  t.true((await store.append({entries: [entry]})).isRight());
  await store[Symbol.asyncDispose]();
  const reopened = (await open(made.folder)).unsafeCoerce();
  t.deepEqual(reopened.recovered.entries, [entry]);
  await reopened[Symbol.asyncDispose]();
});
