import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { Daemon } from '../system/Daemon'
import { SettingsWatch } from './SettingsWatch'

const place = { zone: 'z', voter: false, callers: 1, endpoints: 2, operators: 3, instances: 4 }

/** Instances that give whatever version a test says. */
class FakeSystem {
  readonly versions = new Map<string, number>([
    ['a', 1],
    ['b', 1],
  ])
  readonly daemons = [...this.versions.keys()].map(
    (instance) => new Daemon({ ...place, instance }, '', '', ''),
  )
  readonly violations: string[] = []
  readonly watch = new SettingsWatch(this, this.violations, 0)
  statuses = [200]

  operator({ place: { instance } }: Daemon) {
    return {
      settings: () => {
        const version = this.versions.get(instance)
        if (version === undefined) return Promise.reject(new Error('no answer'))
        return Promise.resolve({ version, preset: 'ordinary' })
      },
      setPreset: () => Promise.resolve(this.statuses.shift() ?? 200),
    }
  }

  get first(): Daemon {
    const [daemon] = this.daemons
    assert.ok(daemon !== undefined)
    return daemon
  }
}

describe('the watch over the settings of a soak run', () => {
  it('finds nothing while versions rise and agree', async () => {
    const system = new FakeSystem()
    await system.watch.look()
    for (const instance of system.versions.keys()) system.versions.set(instance, 2)
    await system.watch.look()
    await system.watch.awaitAgreement(() => 0)
    assert.deepEqual(system.violations, [])
  })

  it('finds a version that goes back within one process', async () => {
    const system = new FakeSystem()
    system.versions.set('a', 5)
    await system.watch.look()
    system.versions.set('a', 4)
    await system.watch.look()
    assert.deepEqual(system.violations, ['a went back from settings 5 to 4'])
  })

  it('does not compare two processes of an instance', async () => {
    const system = new FakeSystem()
    system.versions.set('a', 5)
    await system.watch.look()
    system.watch.noteEnd(system.first)
    system.versions.set('a', 4)
    await system.watch.look()
    assert.deepEqual(system.violations, [])
  })

  const disagreements = [
    { name: 'instances that disagree', versions: [1, 2], says: /: 1, 2$/ },
    { name: 'an instance that does not answer', versions: [1, undefined], says: /no answer/ },
  ]
  for (const { name, versions, says } of disagreements) {
    it(`finds ${name} at the end`, async () => {
      const system = new FakeSystem()
      for (const [index, instance] of ['a', 'b'].entries()) {
        const version = versions[index]
        if (version === undefined) system.versions.delete(instance)
        else system.versions.set(instance, version)
      }
      await system.watch.awaitAgreement(() => 0)
      assert.match(system.violations.join(), says)
    })
  }

  it('finds an accepted change that is nowhere in force', async () => {
    const system = new FakeSystem()
    await system.watch.setPreset(system.first, 'peak', 'c1')
    await system.watch.awaitAgreement(() => 0)
    assert.match(system.violations.join(), /settings 2 not in force everywhere/)
  })

  it('finds a refused resend of an accepted command', async () => {
    const system = new FakeSystem()
    system.statuses = [200, 409]
    await system.watch.setPreset(system.first, 'peak', 'c1')
    assert.match(system.violations.join(), /resend of c1 was refused/)
  })
})
