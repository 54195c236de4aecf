/**
 * Crash-safe storage: checksummed record log, atomically replaced files, disk fault injection.
 *
 * @packageDocumentation
 */
export { Disk, DiskOperation } from './lib/disk/Disk'
export type { DiskFault } from './lib/disk/FaultPlan'
export { MemoryDisk, defaultMemoryDiskOptions } from './lib/disk/MemoryDisk'
export type { MemoryDiskOptions } from './lib/disk/MemoryDisk'
export { RealDisk } from './lib/disk/RealDisk'
export { SlowDisk } from './lib/disk/SlowDisk'
export { StorageError, StorageErrorKind } from './lib/errors/StorageError'
export { DurableFile } from './lib/file/DurableFile'
export { openDataFolder } from './lib/folder/openDataFolder'
export type { DataFolder } from './lib/folder/openDataFolder'
export { RecordLog, defaultRecordLogOptions } from './lib/log/RecordLog'
export type { RecordLogOptions } from './lib/log/RecordLog'
export { packNewest, packVersioned, unpackNewest } from './lib/migrations/runMigrations'
export type { Migration, VersionedContent } from './lib/migrations/runMigrations'
