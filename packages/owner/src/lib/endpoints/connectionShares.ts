/**
 * Connections to an endpoint that are kept for stops, leases and probes, so that these never wait
 * behind running tasks. Users' endpoints take 64 connections for 8 slots.
 *
 * @internal
 */
export const CONTROL_CONNECTIONS = 2
