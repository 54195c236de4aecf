import { Schema } from 'effect'

/** An integer setting with bounds and a default. */
export interface NumberSetting {
  readonly minimum: number
  readonly maximum: number
  readonly default: number
  readonly description: string
}

export function wholeNumber(minimum: number, maximum: number, description: string) {
  return Schema.Int.check(Schema.isBetween({ minimum, maximum })).annotate({ description })
}

/** Returns the schema of a group whose settings are all optional integers. */
export function numberGroup<Key extends string>(
  settings: Readonly<Record<Key, NumberSetting>>,
  description: string,
) {
  const fields = Object.entries<NumberSetting>(settings).map(([key, setting]) => {
    const { minimum, maximum } = setting
    const schema = wholeNumber(minimum, maximum, setting.description)
    return [key, Schema.optionalKey(schema.annotate({ default: setting.default }))] as const
  })
  type Field = Schema.optionalKey<ReturnType<typeof wholeNumber>>
  return Schema.Struct(Object.fromEntries(fields) as Readonly<Record<Key, Field>>).annotate({
    description,
  })
}

/** Returns the defaults of a group of number settings. */
export function defaultsOf<Key extends string>(
  settings: Readonly<Record<Key, NumberSetting>>,
): Readonly<Record<Key, number>> {
  const entries = Object.entries<NumberSetting>(settings).map(([key, setting]) => [
    key,
    setting.default,
  ])
  return Object.fromEntries(entries) as Record<Key, number>
}
