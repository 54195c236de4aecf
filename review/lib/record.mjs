/** Writes what was sent, answered and run to `record.txt`, one line each. */
import fs from 'node:fs'
import { performance } from 'node:perf_hooks'

export class Record {
  constructor(file) {
    this.file = file
    fs.writeFileSync(file, '')
  }

  /** Milliseconds since the start of the script. */
  now() {
    return performance.now()
  }

  add(what, fields = {}) {
    const at = this.now()
    const rest = Object.entries(fields).map(([name, value]) => `${name}=${JSON.stringify(value)}`)
    fs.appendFileSync(this.file, `${(at / 1000).toFixed(3)} ${what} ${rest.join(' ')}\n`)
    return at
  }
}
