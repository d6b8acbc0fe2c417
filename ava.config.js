export default {
  files: ['packages/*/dist/__tests__/*.test.js', 'platform/dist/__tests__/*.test.js'],
  timeout: '120s',
  concurrency: 4,
  workerThreads: false,
};
