// Measures the memory and time that the table of admissions takes.
// Usage: node --expose-gc scripts/measure-admissions.js [RECORDS]
import {createHash} from 'node:crypto';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {AdmissionTable} from '#membership';

const records = Number(process.argv[2] ?? 200_000);
const jobsPerSecond = 3000;
const deriveId = n =>
  createHash('sha256').update(String(n)).digest('hex').slice(0, 32);

function readBytes() {
  globalThis.gc();
  const {heapUsed, external} = process.memoryUsage();
  return heapUsed + external;
}

function time(act) {
  const begun = performance.now();
  const result = act();
  return {ms: performance.now() - begun, result};
}

const before = readBytes();
const table = new AdmissionTable();
const adding = time(() => {
  for (let n = 0; n < records; n++) {
    const job = deriveId(n);
    table.add({
      job,
      digest: job,
      epoch: 1 + (n % 8),
      tasks: 20,
      unrepeatable: false,
      revision: n,
      ticket: n,
      expirySecond: 600 + Math.floor(n / jobsPerSecond),
    });
  }
});
const bytes = readBytes() - before;
const finding = time(() => {
  for (let n = 0; n < records; n++) table.find(deriveId(n));
});
const encoding = time(() => table.encode());
const decoding = time(() => AdmissionTable.decode(encoding.result, 0, 0));
const forgetting = time(() => table.forgetExpired(600, Infinity));
const forgettingAll = time(() => table.forgetExpired(10_000, Infinity));

process.stdout.write(
  JSON.stringify({
    records,
    bytesPerRecord: Math.round(bytes / records),
    snapshotBytesPerRecord: encoding.result.length / records,
    addMicros: (1000 * adding.ms) / records,
    findMicros: (1000 * finding.ms) / records,
    encodeMs: encoding.ms,
    decodeMs: decoding.ms,
    forgetFirstSecondMs: forgetting.ms,
    forgottenInFirstSecond: forgetting.result,
    forgetRestMs: forgettingAll.ms,
  }) + '\n',
);
