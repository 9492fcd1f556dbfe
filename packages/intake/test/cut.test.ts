import test from 'ava';
import fc from 'fast-check';
import {
  BlockBuffer,
  BlockPool,
  BodyAccount,
  chooseBodyToCut,
  chooseConnectionToClose,
  type ConnectionStage,
  computeBodyDeadline,
  defaultIntake,
  GarbageLimiter,
  listUnreadToClose,
} from '#intake';

const kb = 1024;
const describeBody = (
  bytes: number,
  openedAt: number,
  chunks = 1,
  receivedAt = openedAt,
  isTimed = true,
) => ({bytes, openedAt, chunks, receivedAt, isTimed});

test('when a crowd holds bodies open, the slowest of the largest is cut and not the caller who came last', t => {
  const held = [10, 5, 20].map(at => describeBody(256 * kb, at));
  const ordinary = describeBody(2 * kb, 0);
  const large = describeBody(250 * kb, 990);
  const bodies = new Set([...held, ordinary, large]);
  t.is(chooseBodyToCut(bodies, 'bytes', 1000), held[1]);
});

test('when a crowd sends tiny chunks, one of those with most chunks is cut', t => {
  const tiny = describeBody(64 * kb, 500, 60_000);
  const large = describeBody(256 * kb, 0, 4);
  t.is(chooseBodyToCut(new Set([large, tiny]), 'chunks', 1000), tiny);
});

test('a large body that is arriving and a message of another process stay while others stand still', t => {
  const standing = Array.from({length: 40}, (_, at) =>
    describeBody(60 * kb, at),
  );
  const arriving = describeBody(4000 * kb, 500, 1, 1990);
  const inner = describeBody(4000 * kb, 0, 1, 0, false);
  const bodies = new Set([arriving, inner, ...standing]);
  t.is(chooseBodyToCut(bodies, 'bytes', 2000), standing[0]);
  t.is(chooseBodyToCut(new Set([arriving, inner]), 'bytes', 2000), arriving);
});

test('a body that is alone is not cut', t => {
  const lone = new Set([describeBody(256 * kb, 0, 260_000)]);
  t.is(chooseBodyToCut(lone, 'chunks', 1000), undefined);
});

test('a body that trickles ends at its grace, one at the minimum rate gets its time', t => {
  const settings = {
    ...defaultIntake,
    bodyGraceMs: 1000,
    minBodyBytesPerSecond: 100,
    maxBodyMs: 5000,
  };
  t.is(computeBodyDeadline(50, 0, settings), 1050);
  t.is(computeBodyDeadline(50, 200, settings), 3050);
  t.is(computeBodyDeadline(50, 1e6, settings), 5050);
});

test('a new connection takes the place of the one that made no progress for the longest, never of one that waits for an answer', t => {
  const choose = (...states: readonly (readonly [ConnectionStage, number])[]) =>
    chooseConnectionToClose(
      states.map(([stage, since], i) => [i, {stage, since}] as const),
      2000,
    );
  t.is(choose(['waiting', 0], ['silent', 9], ['slow', 5], ['idle', 1]), 2);
  t.is(choose(['waiting', 0], ['idle', 9], ['idle', 5]), 2);
  t.is(choose(['waiting', 0], ['waiting', 1]), undefined);
  t.is(choose(['silent', 1999], ['slow', 1500], ['idle', 1990]), 2);
  t.is(choose(['silent', 1999], ['slow', 1500]), 1);
});

test('of the connections that do not read, those with most unread are closed', t => {
  const stalled = {since: 1, bytes: 10};
  const most = {since: 20, bytes: 900};
  const some = {since: 21, bytes: 300};
  t.deepEqual(listUnreadToClose([some, stalled, most], 10, 400), [
    stalled,
    most,
  ]);
  t.deepEqual(listUnreadToClose([some, most], 10, 2000), []);
});

test('a body costs its bytes and less than a block, whatever its chunks', t => {
  const pool = new BlockPool(16 * kb);
  fc.assert(
    fc.property(
      fc.array(fc.uint8Array({minLength: 1, maxLength: 3000}), {
        minLength: 2,
      }),
      chunks => {
        const whole = Buffer.concat(chunks);
        const buffer = new BlockBuffer(pool);
        for (const chunk of chunks) {
          buffer.append(Buffer.from(chunk));
          t.true(buffer.capacity < buffer.length + 8 * kb);
        }
        t.true(buffer.take().equals(whole));
      },
    ),
  );
});

test('the account stays within its limits, and an ordinary body is not cut for the crowd', t => {
  const limit = 100 * kb;
  const account = new BodyAccount(
    {...defaultIntake, maxHeldBytes: limit},
    new GarbageLimiter(),
  );
  let cuts = 0;
  for (let i = 0; i < 40; i++) {
    const hold = account.open({onCut: () => cuts++, isTimed: true});
    for (let sent = 0; sent < 20; sent++) hold.append(Buffer.alloc(kb));
    t.true(account.heldBytes <= limit);
  }
  const ordinary = account.open({
    onCut: () => t.fail('cut an ordinary body'),
    isTimed: true,
  });
  ordinary.append(Buffer.from('ordinary'));
  t.is(ordinary.take().toString(), 'ordinary');
  t.true(cuts >= 35);
  t.true(account.heldBytes <= limit);
});

test('a body that trickles is cut, and one that is not timed stays', t => {
  let now = 0;
  const cuts: string[] = [];
  const account = new BodyAccount(defaultIntake, new GarbageLimiter(), {
    now: () => now,
  });
  for (const isTimed of [true, false]) {
    const hold = account.open({
      onCut: cause => cuts.push(`${isTimed} ${cause}`),
      isTimed,
    });
    hold.append(Buffer.from('x'));
  }
  now = defaultIntake.bodyGraceMs;
  account.cutOverdue();
  t.deepEqual(cuts, []);
  now += 2;
  account.cutOverdue();
  t.deepEqual(cuts, ['true too-slow']);
});
