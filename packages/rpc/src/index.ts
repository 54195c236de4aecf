/**
 * Links between instances: one long stream each way with typed, batched envelopes.
 *
 * @packageDocumentation
 */
export {}
