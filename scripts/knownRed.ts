/** A test that is known to fail, as `KNOWN-RED.txt` lists it: `FILE: TEST; CAUSE; ISSUE`. */
export interface KnownRed {
  /** Path of the test file, from the root. */
  readonly file: string
  readonly test: string
  readonly line: string
}

/** A test that failed. */
export interface FailedTest {
  readonly file: string
  readonly test: string
}

/** More faults than these are mended before anything new. */
const MOST_LINES = 3

/**
 * Reads the list of tests that are known to fail.
 *
 * @throws when a line can't be read, or there are too many
 */
export function parseKnownRed(text: string): readonly KnownRed[] {
  const lines = text.split('\n').filter((line) => line.trim() !== '')
  if (lines.length > MOST_LINES) throw new Error(`more than ${MOST_LINES} known failures`)
  return lines.map((line) => {
    const [, file, test] = /^([^:;]+\.test\.ts): ([^;]+);.*;/.exec(line) ?? []
    if (file === undefined || test === undefined) throw new Error(`not readable: ${line}`)
    return { file, test: test.trim(), line }
  })
}

/** The failures that are not on the list: each of them makes the whole run fail. */
export function unknownFailures(
  failed: readonly FailedTest[],
  known: readonly KnownRed[],
): readonly FailedTest[] {
  return failed.filter((one) => {
    return !known.some(({ file, test }) => one.file === file && one.test === test)
  })
}
