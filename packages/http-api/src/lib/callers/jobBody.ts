import { Schema } from 'effect'
import { nameSchema, resourceSchema } from '../exchange/schemas'
import type { HttpLimits } from '../server/HttpServerOptions'

/** Schema of the body of `POST /v1/jobs`. @internal */
export function jobBodySchema(limits: HttpLimits) {
  const duration = Schema.Number.check(
    Schema.isBetween({ minimum: 1, maximum: limits.maxDeadlineMs }),
  )
  const task = Schema.Struct({
    service: nameSchema,
    payload: Schema.Unknown,
    cores: Schema.optionalKey(resourceSchema),
    memoryMb: Schema.optionalKey(resourceSchema),
    accelerators: Schema.optionalKey(resourceSchema),
    expectedRunMs: Schema.optionalKey(duration),
  })
  return Schema.Struct({
    // Required, with no default: a wrong `true` could run a job twice, and a wrong `false` would
    // refuse resends.
    idempotent: Schema.Boolean.pipe(
      Schema.annotateKey({
        messageMissingKey: 'say whether running the job twice would do no harm: true or false',
      }),
    ),
    deadlineMs: Schema.optionalKey(duration),
    tasks: Schema.Array(task).check(Schema.isBetweenLength(1, limits.tasksPerJob)),
  })
}

/** Validated body of `POST /v1/jobs`. @internal */
export type JobBody = ReturnType<typeof jobBodySchema>['Type']

/** One task of a validated body. @internal */
export type TaskBody = JobBody['tasks'][number]
