import {mkdtemp} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import test from 'ava';
import {type Disk, nodeDisk, Store, unlockedDisk} from '#storage';
import {createMembers} from '#consensus';

test('unlockedDisk opens a folder although the holder of its lock file seems to be alive', async t => {
  const folder = await mkdtemp(join(tmpdir(), 'unlocked-'));
  const bootstrap = createMembers([{id: 'a', address: '127.0.0.1:1'}]);
  const open = (disk: Disk) => Store.open(folder, {id: 'a', bootstrap, disk});
  const holder = (await open(nodeDisk)).unsafeCoerce();
  t.true((await open(nodeDisk)).isLeft());
  const opened = await open(unlockedDisk);
  t.true(opened.isRight());
  await opened.unsafeCoerce()[Symbol.asyncDispose]();
  await holder[Symbol.asyncDispose]();
});
