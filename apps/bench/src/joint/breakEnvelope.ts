import { clone } from '@bufbuild/protobuf'
import type { Envelope, TaskReport } from '@cherryhitch/protocol'
import { EnvelopeSchema, FenceState, Outcome, Reason } from '@cherryhitch/protocol'
import { JointRule } from './JointRule'

/** Makes an envelope break a rule, where it can. */
export function breakEnvelope(rule: JointRule, envelope: Envelope): Envelope {
  const copy = clone(EnvelopeSchema, envelope)
  const { body } = copy
  if (rule === JointRule.FencesAreTrue && body.case === 'fenceReports') {
    for (const report of body.value.reports) report.state = FenceState.NEVER_SEEN
  }
  const namesNone = rule === JointRule.PlacementsNameBoots
  if (namesNone && body.case === 'placeTasks') body.value.ownerBoot = 0
  if (body.case === 'taskReports') {
    for (const { reports } of body.value.jobs) {
      if (rule === JointRule.ReportsAreTrue) for (const report of reports) denyRun(report)
      if (rule === JointRule.OutputsAreUnchanged) changeOutputs(reports)
    }
  }
  return copy
}

function denyRun(report: TaskReport): void {
  if (report.outcome !== Outcome.FAILED) return
  report.outcome = Outcome.NOT_RUN
  report.reason = Reason.ENDPOINT_REFUSED
}

function changeOutputs(reports: readonly TaskReport[]): void {
  for (const report of reports) {
    if (report.outcome === Outcome.SUCCEEDED) report.output = `${report.output} `
  }
}
