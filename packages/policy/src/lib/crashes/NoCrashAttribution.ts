import { CrashAttribution, CrashSuspicion } from './CrashAttribution'

/** Baseline: attributes no loss to a task. @public */
export class NoCrashAttribution extends CrashAttribution {
  override suspicionOf(): CrashSuspicion {
    return CrashSuspicion.Clear
  }
}
