const DEFAULT_CALLER = 'operator'

/** Names the caller where the settings have no tokens. @internal */
export function callerHeaders(caller: string | undefined): Readonly<Record<string, string>> {
  return { 'cherryhitch-caller': caller ?? DEFAULT_CALLER }
}
