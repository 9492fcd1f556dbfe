export default {
  files: ['build/*/test/**/*.test.js'],
  timeout: '90s',
  concurrency: 4,
  workerThreads: false,
};
