/**
 * An answer that crossed with a question gets this long, in milliseconds, before the question's
 * result is believed. Ways between zones take 1 to 1.5 ms by the users' pages; the rest is for
 * processes that are busy.
 *
 * @internal
 */
export const CROSSING_MS = 200
