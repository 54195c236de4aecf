/**
 * Files that survive: checksummed log, snapshots, disk faults.
 *
 * @packageDocumentation
 */
export {}
