/**
 * Connections to an endpoint that are reserved for stops, leases and probes, so that these never
 * wait behind running tasks. The users' endpoints accept 64 connections for 8 slots.
 *
 * @internal
 */
export const CONTROL_CONNECTIONS = 2
