/**
 * The replicated log: presets, audit record, claims and the set of voters.
 *
 * @packageDocumentation
 */
export {}
