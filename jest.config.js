/** @type {import('jest').Config} */
module.exports = {
  testEnvironment: 'node',
  roots: ['<rootDir>/packages', '<rootDir>/platform'],
  testMatch: ['**/tests/**/*.test.ts'],
  moduleNameMapper: {
    '^@guavaspindle/platform-adapter/(.+)$': '<rootDir>/platform/src/$1.ts',
    '^@guavaspindle/([^/]+)/(.+)$': '<rootDir>/packages/$1/src/$2.ts',
  },
  transform: {
    '^.+\\.ts$': ['@swc/jest', { jsc: { parser: { syntax: 'typescript' }, target: 'es2022' } }],
  },
  testTimeout: 60000,
  maxWorkers: 3,
};
