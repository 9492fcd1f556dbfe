export default {
  files: ['build/packages/*/test/**/*.test.js', 'build/platform/test/**/*.test.js'],
  timeout: '90s',
  concurrency: 4,
  workerThreads: false,
};
