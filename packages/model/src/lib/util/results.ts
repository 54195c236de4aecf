import * as tsResults from 'ts-results'

/**
 * Node.js loads the CommonJS build of `ts-results` and exposes its exports only as the default
 * export; bundlers use the ES module build, which has no default export.
 */
const loaded = tsResults as typeof tsResults & { readonly default?: typeof tsResults }

/** The constructors of `ts-results`, for both builds. @public */
export const { Err, Ok } = loaded.default ?? loaded
