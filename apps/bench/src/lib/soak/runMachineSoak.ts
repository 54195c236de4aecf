import { runControlSoak } from '@cherryhitch/control'
import { runJointSoak } from '../../joint/runJointSoak'
import type { SoakVerdict } from './SoakVerdict'

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
    const { entries, crashes, wipes } = runControlSoak({ seed, steps })
    return `${entries} entries, ${crashes} crashes, ${wipes} wiped disks`
  })
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
