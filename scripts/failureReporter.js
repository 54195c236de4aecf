/** JavaScript, since node:test loads its reporters before any loader of TypeScript. */
import path from 'node:path'

const root = path.resolve(import.meta.dirname, '..')

/** Reports each failed test as one line of JSON; a group of tests fails by what is in it. */
export default async function* failureReporter(events) {
  for await (const { type, data } of events) {
    if (type !== 'test:fail') continue
    if (data.details.error?.failureType === 'subtestsFailed') continue
    const file = path.relative(root, data.file ?? '')
    yield `${JSON.stringify({ file, test: data.name })}\n`
  }
}
