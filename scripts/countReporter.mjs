/** Vitest reporter that prints the counts of a test run as one line of plain text, for tools that read the end of the output. */
export default class CountReporter {
  onTestRunEnd (testModules) {
    const counts = { passed: 0, failed: 0, skipped: 0 }
    for (const testModule of testModules) {
      // A test file that fails to load has no tests and counts as one failure.
      const isBroken = testModule.state() === 'failed' && testModule.children.size === 0
      if (isBroken) counts.failed++
      for (const test of testModule.children.allTests()) counts[test.result().state] = (counts[test.result().state] ?? 0) + 1
    }
    process.stdout.write(`\n${counts.passed} passed, ${counts.failed} failed, ${counts.skipped} skipped\n`)
  }
}
