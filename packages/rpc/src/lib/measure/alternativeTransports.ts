import http2 from 'node:http2'
import type { AddressInfo } from 'node:net'
import { create } from '@bufbuild/protobuf'
import { BatchReceiptSchema, EnvelopeBatchSchema, LinkService } from '@cherryhitch/protocol'
import type { Envelope, EnvelopeBatch } from '@cherryhitch/protocol'
import { createClient } from '@connectrpc/connect'
import type { ConnectRouter } from '@connectrpc/connect'
import { connectNodeAdapter, createConnectTransport } from '@connectrpc/connect-node'
import { AsyncQueue } from '../queue/AsyncQueue'

/** A transport that sends one envelope to a peer and waits for its reply. */
export interface MessageTransport {
  readonly name: string
  readonly request: (id: string, message: Envelope) => Promise<void>
  readonly close: () => Promise<void>
}

const exchange = LinkService.method.exchange
/** The method of the link service as a unary call. */
const unaryMethod = { ...exchange, methodKind: 'unary' as const }
/** The method of the link service with envelopes in both directions. */
const sharedMethod = { ...exchange, output: EnvelopeBatchSchema }

async function serve(routes: (router: ConnectRouter) => void) {
  const handler = connectNodeAdapter({ grpc: false, grpcWeb: false, routes })
  const server = http2.createServer({}, handler)
  const sessions = new Set<http2.ServerHttp2Session>()
  server.on('session', (session) => sessions.add(session))
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as AddressInfo
  const transport = createConnectTransport({
    baseUrl: `http://127.0.0.1:${port}`,
    httpVersion: '2',
    acceptCompression: [],
  })
  const close = (): void => {
    for (const session of sessions) session.destroy()
    server.close()
  }
  return { transport, close }
}

function batchOf(envelopes: Envelope[]): EnvelopeBatch {
  return create(EnvelopeBatchSchema, { from: 'a', fromBoot: 1, sequence: 1, envelopes })
}

/** Makes a unary call for each envelope; the response is the reply. */
export async function startUnaryTransport(): Promise<MessageTransport> {
  const service = { ...LinkService, methods: [unaryMethod], method: { exchange: unaryMethod } }
  const { transport, close } = await serve((router) => {
    router.rpc(unaryMethod, (batch) => create(BatchReceiptSchema, { sequence: batch.sequence }))
  })
  const client = createClient(service, transport)
  return {
    name: 'unary call per message',
    request: async (_id, message) => {
      await client.exchange(batchOf([message]))
    },
    close: () => {
      close()
      return Promise.resolve()
    },
  }
}

/** Uses one bidirectional stream of batches, without receipts, sequences or limits. */
export async function startSharedStreamTransport(): Promise<MessageTransport> {
  const service = { ...LinkService, methods: [sharedMethod], method: { exchange: sharedMethod } }
  const { transport, close } = await serve((router) => {
    router.rpc(sharedMethod, async function* (batches) {
      for await (const batch of batches) yield batchOf(batch.envelopes)
    })
  })
  const queue = new AsyncQueue<EnvelopeBatch>()
  const waiting: (() => void)[] = []
  let ready: Envelope[] = []
  const flush = (): void => {
    queue.push(batchOf(ready))
    ready = []
  }
  const answers = createClient(service, transport).exchange(queue)
  const reading = readAnswers(answers, waiting)
  return {
    name: 'one shared stream',
    request: (_id, message) =>
      new Promise((resolve) => {
        waiting.push(resolve)
        if (ready.push(message) === 1) queueMicrotask(flush)
      }),
    close: async () => {
      queue.end()
      await reading
      close()
    },
  }
}

/** Resolves requests in order: replies arrive in the order of the requests. */
async function readAnswers(
  answers: AsyncIterable<EnvelopeBatch>,
  waiting: (() => void)[],
): Promise<void> {
  for await (const { envelopes } of answers) {
    for (const resolve of waiting.splice(0, envelopes.length)) resolve()
  }
}
