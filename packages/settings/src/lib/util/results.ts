import * as tsResults from 'ts-results'

/**
 * Node.js loads the CommonJS build of `ts-results`, whose exports it shows only on the default
 * export; bundlers take the module build, which has none.
 */
const loaded = tsResults as typeof tsResults & { readonly default?: typeof tsResults }

/** The constructors of `ts-results`, in either way of loading it. @internal */
export const { Err, Ok } = loaded.default ?? loaded
