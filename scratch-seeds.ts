import { runDispatchSoak } from '@cherryhitch/dispatch'
const [a, b] = [Number(process.argv[2]), Number(process.argv[3])]
let bad = 0, done = 0, sub = 0
for (let seed = a; seed < b; seed++) {
  const r = runDispatchSoak(seed, 150, { proxies: seed % 4, hasGaps: seed % 3 === 0 })
  done += r.completed; sub += r.submitted
  if (r.violations.length) { bad++; console.log(seed, r.violations.slice(0, 3)) }
}
console.log({ a, b, bad, done, sub })
