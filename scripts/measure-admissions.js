// Measures the memory and time used by the admission table.
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

function measureTime(call) {
  const startedAt = performance.now();
  const result = call();
  return {ms: performance.now() - startedAt, result};
}

const before = readBytes();
const table = new AdmissionTable();
const adding = measureTime(() => {
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
const finding = measureTime(() => {
  for (let n = 0; n < records; n++) table.find(deriveId(n));
});
const encoding = measureTime(() => table.encode());
const decoding = measureTime(() =>
  AdmissionTable.decode(encoding.result, 0, 0),
);
const forgetting = measureTime(() => table.forgetExpired(600, Infinity));
const forgettingAll = measureTime(() => table.forgetExpired(10_000, Infinity));

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
