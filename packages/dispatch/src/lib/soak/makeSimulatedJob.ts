import { create } from '@bufbuild/protobuf'
import { JobStepSchema, SteppedJobSchema } from '@cherryhitch/protocol'
import type { SteppedJob } from '@cherryhitch/protocol'
import type { SubmitOptions } from './DispatchSimulationOptions'
import { TASK_CPU_MILLIS } from './SimulatedEndpoint'

/** Creates a job of one step with tasks that each need a slot. @internal */
export function makeSimulatedJob(
  id: string,
  tasks: number,
  { estimateMs = 60, isWeightless = false }: SubmitOptions,
): SteppedJob {
  const needs = isWeightless ? {} : { cpuMillis: TASK_CPU_MILLIS, memoryMb: 1 }
  const step = create(JobStepSchema, { count: tasks, needs, estimateMs })
  return create(SteppedJobSchema, { jobId: id, payload: 'p', steps: [step] })
}
