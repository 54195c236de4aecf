import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { create } from '@bufbuild/protobuf'
import { LostEndpointSchema, PossibleLossSchema } from '@cherryhitch/protocol'
import { DiskOperation, MemoryDisk } from '@cherryhitch/storage'
import type { PartLog } from '@cherryhitch/telemetry'
import { Effect } from 'effect'
import { DirectoryStore } from './DirectoryStore'
import type { EndpointDirectory } from './endpointDirectoryOf'

const ignore = (): void => undefined
const log: PartLog = { info: ignore, warn: ignore, error: ignore, debug: ignore }
const LOSSES: EndpointDirectory = {
  notices: [],
  lost: [
    create(LostEndpointSchema, { endpoint: 'e1', tasks: ['j.0.0.0'], crashed: true, term: 2 }),
  ],
  possible: [create(PossibleLossSchema, { term: 3, endpoints: ['e2'], tasks: ['k.0.0.0'] })],
}

function open(disk: MemoryDisk, changes: number, logTo = log): DirectoryStore {
  return new DirectoryStore({
    disk,
    log: logTo,
    currentDirectory: () => LOSSES,
    lossChanges: () => changes,
  })
}

/** Lets pending writes complete: those of a memory disk take a few turns of the event loop. */
async function settle(): Promise<void> {
  for (let turn = 0; turn < 20; turn++) await new Promise((resolve) => setImmediate(resolve))
}

describe('DirectoryStore', () => {
  it('returns the losses broadcast by a leader to the next process', async () => {
    const disk = new MemoryDisk()
    open(disk, 1).onLossUpdate(0)
    await settle()
    const { lost, possible } = await Effect.runPromise(open(disk, 0).read())
    assert.deepEqual(lost, LOSSES.lost)
    assert.deepEqual(possible, LOSSES.possible)
  })

  // One failed write ended all later ones, and losses counted as stored before their write had ended,
  // so that a loss of power forgot which tasks had taken their endpoints down.
  it('stores losses later if their write failed, also without a further change', async () => {
    const disk = new MemoryDisk({ capacityBytes: 0 })
    const store = open(disk, 1)
    store.onLossUpdate(0)
    await settle()
    assert.deepEqual((await Effect.runPromise(open(disk, 0).read())).lost, [])
    disk.capacityBytes = Infinity
    const before = disk.changes
    store.tick(100)
    await settle()
    assert.equal(disk.changes, before, 'attempts are spaced out')
    store.tick(500)
    await settle()
    disk.crash()
    assert.deepEqual((await Effect.runPromise(open(disk, 0).read())).lost, LOSSES.lost)
  })

  it('does not replace the stored losses before it could read them', async () => {
    const disk = new MemoryDisk()
    open(disk, 1).onLossUpdate(0)
    await settle()
    disk.fail({ operation: DiskOperation.Read })
    const restarted = open(disk, 2)
    const read = Effect.runPromise(restarted.read())
    await settle()
    const before = disk.changes
    restarted.tick(0)
    await settle()
    assert.equal(disk.changes, before)
    assert.deepEqual((await read).lost, LOSSES.lost)
  })

  it('logs when the disk is lost and regained, and not each attempt', async () => {
    const disk = new MemoryDisk({ capacityBytes: 0 })
    const lines: string[] = []
    const note = (line: string): void => {
      lines.push(line)
    }
    const store = open(disk, 1, { ...log, info: note, warn: note })
    for (const now of [0, 500, 1_000]) {
      if (now === 1_000) disk.capacityBytes = Infinity
      store.tick(now)
      await settle()
    }
    assert.deepEqual(lines, [
      'failed to store the endpoint directory',
      'the endpoint directory is accessible again',
    ])
  })

  it('returns an empty directory when nothing was stored', async () => {
    const { notices, lost, possible } = await Effect.runPromise(open(new MemoryDisk(), 0).read())
    assert.deepEqual([notices, lost, possible], [[], [], []])
  })
})
