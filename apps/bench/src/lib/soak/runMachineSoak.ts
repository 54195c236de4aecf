import { runControlSoak } from '@cherryhitch/control'
import { runDispatchSoak } from '@cherryhitch/dispatch'
import { runJointSoak } from '../../joint/runJointSoak'
import type { SoakVerdict } from './SoakVerdict'

/** Seeds go by turns without proxies, with one, with two and with three. */
const PROXY_COUNTS = 4
/** In one seed of so many, processes of dispatchers start again. */
const RESTARTS_EVERY = 3
/** In one seed of so many, endpoints start again under their ids. */
const ENDPOINT_RESTARTS_EVERY = 5
/** Seeds go by turns with one lost voter to bear, and with two. */
const MOST_LOSSES = 2

/** Machines of coordinators, owners and membership, by `runJointSoak`. */
export function runJointPart(seed: number, steps: number): SoakVerdict {
  return verdictOf(() => {
    const { submissions, starts, crashes } = runJointSoak({ seed, steps })
    return `${submissions} submissions, ${starts} starts, ${crashes} crashes`
  })
}

/** Machines of voters and their followers, by `runControlSoak`. */
export function runControlPart(seed: number, steps: number): SoakVerdict {
  return verdictOf(() => {
    const { entries, crashes, wipes } = runControlSoak({
      seed,
      steps,
      toleratedLosses: 1 + (seed % MOST_LOSSES),
    })
    return `${entries} entries, ${crashes} crashes, ${wipes} wiped disks`
  })
}

/** Machines of dispatchers, an entry and endpoints, by `runDispatchSoak`. */
export function runDispatchPart(seed: number, steps: number): SoakVerdict {
  const { violations, submitted, completed } = runDispatchSoak(seed, steps, {
    hasGaps: true,
    proxies: seed % PROXY_COUNTS,
    hasRestarts: seed % RESTARTS_EVERY === 0,
    hasEndpointRestarts: seed % ENDPOINT_RESTARTS_EVERY === 0,
  })
  const summary = `${submitted} jobs, ${completed} completed`
  return { summary, violations, details: [], folder: undefined }
}

function verdictOf(run: () => string): SoakVerdict {
  const nothing = { details: [], folder: undefined }
  try {
    return { summary: run(), violations: [], ...nothing }
  } catch (err) {
    const violations = [err instanceof Error ? err.message : String(err)]
    return { summary: '', violations, ...nothing }
  }
}
