/** Crowds of clients against real processes: one test at a time, apart from the other tests. */
export default {
  files: ['build/platform/test/crowd/**/*.test.js'],
  timeout: '300s',
  concurrency: 1,
  serial: true,
  workerThreads: false,
};
