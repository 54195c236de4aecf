import { ListedEnd } from '@cherryhitch/protocol'
import { RunEnd } from './Run'

/** Maps an end reported by an endpoint to the end of its run. @internal */
export function runEndOf(end: ListedEnd): RunEnd {
  switch (end) {
    case ListedEnd.DONE:
      return RunEnd.Done
    case ListedEnd.FAILED:
      return RunEnd.Failed
    case ListedEnd.STOPPED:
    case ListedEnd.GROUP_BROKEN:
    case ListedEnd.GROUP_INCOMPLETE:
    case ListedEnd.UNSPECIFIED:
      return RunEnd.Stopped
    case ListedEnd.LEASE_EXPIRED:
      return RunEnd.Lost
  }
}
