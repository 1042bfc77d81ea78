/** Which datagrams are of the own deployment, and what becomes of others. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {RoarrLogger} from '@irisdock/kernel';
import {FramedPort} from '../src/channels/framed_port.js';
import type {DatagramHandler} from '../src/channels/datagram_socket.js';
import {PeerFrame, type DropReason} from '../src/model/peer_frame.js';
import {VirtualClock} from './fixtures/virtual_clock.js';

const RUNS = {numRuns: 500, seed: 20_261_203};
const HEADER_BYTES = 9;
const SENDER = '127.0.0.1:1';

interface Bed {
  readonly port: FramedPort;
  readonly sent: Uint8Array[];
  readonly taken: Uint8Array[];
  readonly drops: DropReason[];
  receive: DatagramHandler;
}

/** Creates a port of a deployment without a socket. */
function createBed(deployment: string): Bed {
  const sent: Uint8Array[] = [];
  const taken: Uint8Array[] = [];
  const drops: DropReason[] = [];
  let receive: DatagramHandler = () => undefined;
  const port = new FramedPort(
    {
      deployment,
      openDatagrams: (handle) => {
        receive = handle;
        return {
          start: (place) => Promise.resolve(place),
          send: (bytes) => sent.push(bytes),
          close: () => undefined,
        };
      },
      recordDrop: (reason) => drops.push(reason),
      clock: new VirtualClock(),
      log: new RoarrLogger('test', 'off'),
    },
    (payload) => taken.push(payload),
  );
  return {port, sent, taken, drops, receive};
}

describe('a frame', () => {
  it('is read by hosts of the same deployment only', () => {
    const payload = fc.uint8Array({maxLength: 1300});
    fc.assert(
      fc.property(fc.string(), fc.string(), payload, (one, other, bytes) => {
        const framed = new PeerFrame(one).encode(bytes);
        const read = new PeerFrame(other).decode(framed);
        if (one !== other) assert.ok(read.isErr());
        else assert.deepEqual([...read._unsafeUnwrap()], [...bytes]);
      }),
      RUNS,
    );
  });

  // Guards against a damaged header that passes for another deployment's.
  it('with any bit of its header flipped is dropped', () => {
    const frame = new PeerFrame('one');
    const framed = frame.encode(Buffer.of(1, 2, 3));
    for (let bit = 0; bit < HEADER_BYTES * 8; bit++) {
      const damaged = Buffer.from(framed);
      const at = Math.floor(bit / 8);
      damaged[at] = (damaged[at] ?? 0) ^ (1 << (bit % 8));
      assert.ok(frame.decode(damaged).isErr());
    }
  });

  it('that is cut or arbitrary is dropped without a fault', () => {
    const frame = new PeerFrame('one');
    const framed = frame.encode(new Uint8Array());
    for (let length = 0; length < framed.length; length++) {
      const cut = frame.decode(framed.subarray(0, length));
      assert.equal(cut._unsafeUnwrapErr(), 'malformed');
    }
    fc.assert(
      fc.property(fc.uint8Array({maxLength: 64}), (bytes) => {
        assert.ok(frame.decode(bytes).isErr());
      }),
      RUNS,
    );
  });
});

describe('a port of one deployment', () => {
  it('takes what its own hosts send', () => {
    const {port, sent, taken, drops, receive} = createBed('one');
    port.send(Buffer.of(7), SENDER);
    for (const datagram of sent) receive(datagram, SENDER);
    assert.deepEqual(
      taken.map((payload) => [...payload]),
      [[7]],
    );
    assert.deepEqual(drops, []);
  });

  it('counts and drops what others send', () => {
    const {taken, drops, receive} = createBed('one');
    receive(new PeerFrame('two').encode(Buffer.of(7)), SENDER);
    receive(Buffer.of(1, 2), SENDER);
    receive(Buffer.alloc(HEADER_BYTES, 9), SENDER);
    assert.deepEqual(taken, []);
    assert.deepEqual(drops, ['other_deployment', 'malformed', 'other_version']);
  });
});
