import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { defaultLinkTuning } from '../host/LinkHostOptions'
import { Inbox, InboxVerdict } from './Inbox'

const { Deliver, Duplicate, StaleBoot, Superseded, Full } = InboxVerdict

/** Boot number, stream, sequence, whether the batch is empty, and the expected verdict. */
type Step = readonly [number, number, number, boolean, InboxVerdict]

const cases: readonly { name: string; steps: readonly Step[]; highest: number }[] = [
  {
    name: 'delivers increasing sequences, with gaps',
    steps: [
      [1, 1, 1, false, Deliver],
      [1, 1, 2, false, Deliver],
      [1, 1, 7, false, Deliver],
    ],
    highest: 7,
  },
  {
    name: 'drops batches that a new stream sends again',
    steps: [
      [1, 1, 1, false, Deliver],
      [1, 1, 2, false, Deliver],
      [1, 2, 1, false, Duplicate],
      [1, 2, 2, false, Duplicate],
      [1, 2, 3, false, Deliver],
    ],
    highest: 3,
  },
  {
    name: 'refuses batches from a superseded stream',
    steps: [
      [1, 1, 1, false, Deliver],
      [1, 2, 1, true, Deliver],
      [1, 1, 2, false, Superseded],
    ],
    highest: 1,
  },
  {
    name: 'never delivers batches that the sender dropped',
    steps: [
      [1, 1, 5, true, Deliver],
      [1, 1, 4, false, Duplicate],
      [1, 1, 6, false, Deliver],
    ],
    highest: 6,
  },
  {
    name: 'restarts sequences with the next boot number, and refuses the earlier one',
    steps: [
      [1, 1, 9, false, Deliver],
      [2, 2, 1, false, Deliver],
      [1, 1, 10, false, StaleBoot],
    ],
    highest: 1,
  },
]

describe('Inbox', () => {
  for (const { name, steps, highest } of cases) {
    it(name, () => {
      const inbox = new Inbox(2)
      const opened = new Set<number>()
      for (const [boot, stream, sequence, isEmpty, expected] of steps) {
        if (!opened.has(stream)) assert.equal(inbox.open(0, 'a', boot, stream), Deliver)
        opened.add(stream)
        assert.equal(inbox.accept(0, { from: 'a', boot, stream, sequence, isEmpty }), expected)
      }
      assert.equal(inbox.highest('a'), highest)
    })
  }

  it('refuses streams with a lower boot number, and senders beyond its limit', () => {
    const inbox = new Inbox(2)
    assert.equal(inbox.open(0, 'a', 2, 1), Deliver)
    assert.equal(inbox.open(0, 'a', 1, 2), StaleBoot)
    assert.equal(inbox.open(0, 'b', 1, 3), Deliver)
    assert.equal(inbox.open(0, 'c', 1, 4), Full)
    assert.equal(inbox.open(0, 'a', 3, 5), Deliver)
  })

  it('refuses no new sender because of those that were replaced long ago', () => {
    const inbox = new Inbox(2)
    const minuteMs = 60_000
    for (let n = 0; n < 20; n++) {
      const now = 2 * n * minuteMs
      assert.equal(inbox.open(now, `old${n}`, 1, 2 * n + 1), Deliver, `sender ${n}`)
      assert.equal(inbox.open(now, 'kept', 1, 2 * n + 2), Deliver)
      const batch = { from: 'kept', boot: 1, stream: 2 * n + 2, sequence: 1, isEmpty: false }
      assert.equal(
        inbox.accept(now + minuteMs, batch),
        n === 0 ? Deliver : Duplicate,
        'it is remembered',
      )
    }
  })

  it('takes in every sender of a large deployment by default', () => {
    const inbox = new Inbox(defaultLinkTuning.maxSenders)
    for (let n = 1; n <= 1_000; n++)
      assert.equal(inbox.open(0, `s${n}`, 1, n), Deliver, `sender ${n}`)
  })

  it('still counts a sender that was silent for seconds', () => {
    const inbox = new Inbox(1)
    assert.equal(inbox.open(0, 'a', 1, 1), Deliver)
    assert.equal(inbox.open(30_000, 'b', 1, 2), Full)
  })

  it('accepts a lower boot number after the retention period', () => {
    const inbox = new Inbox(2)
    assert.equal(inbox.open(0, 'a', 9, 1), Deliver)
    const batch = { from: 'a', boot: 9, stream: 1, sequence: 1, isEmpty: false }
    assert.equal(inbox.accept(1_000, batch), Deliver)
    assert.equal(inbox.open(4_000, 'a', 5, 2), StaleBoot)
    assert.equal(inbox.open(4_001, 'a', 5, 3), Deliver)
    const later = { ...batch, boot: 5, stream: 3 }
    assert.equal(inbox.accept(4_002, later), Deliver, 'its sequences restart')
  })
})
