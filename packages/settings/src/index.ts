/**
 * Settings files in JSON with comments, checked against a schema.
 *
 * @packageDocumentation
 */
export {}
