export default {
  files: [
    'build/packages/*/test/**/*.test.js',
    'build/platform/test/**/*.test.js',
    '!build/platform/test/crowd/**',
  ],
  timeout: '90s',
  concurrency: 4,
  workerThreads: false,
};
