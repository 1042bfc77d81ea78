/**
 * Relayed streams whose host is silent for longer than hosts usually are. Such
 * a stream stays at its host until another one continues it, as the silent one
 * may go on.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  ALL_IDS,
  pause,
  runRelayedStream,
  RelayHostStandin,
  sendDeclined,
  sendEvents,
  startEvents,
  streamToEnd,
  type ReceivedStream,
  type RelayOptions,
  type RelayScript,
} from './fixtures/relay_hosts.js';
import {waitBlockedNow} from './fixtures/silences.js';

/** How many events the silent host sends before it falls silent. */
const EVENTS_BEFORE = 2;
/** Longer than a host may be silent before its streams look for another. */
const SILENCE_MS = 4500;
/** Longer than two attempts may run beside each other, in ms. */
const STALL_MS = 400;
/** Longer than any stream of these tests lasts, in ms. */
const STANDSTILL_MS = 20_000;

/** The hosts of one test. */
interface Hosts {
  readonly silent: RelayHostStandin;
  readonly next: RelayHostStandin;
}

/** Runs a body with a host that falls silent and one that may take over. */
async function runWithHosts(
  body: (hosts: Hosts) => Promise<void>,
  silenceMs = SILENCE_MS,
): Promise<void> {
  const silent = new RelayHostStandin('silent');
  const next = new RelayHostStandin('next');
  await silent.start();
  await next.start();
  silent.script = async (send) => {
    startEvents(send);
    await sendEvents(send, send.firstId, send.firstId + EVENTS_BEFORE);
    await silent.runSilence(silenceMs);
    await sendEvents(send, send.firstId + EVENTS_BEFORE, ALL_IDS.length + 1);
    send.response.end();
  };
  try {
    await body({silent, next});
  } finally {
    silent.stop();
    next.stop();
  }
}

/** Relays a stream that begins at the silent host. */
async function sendStream(
  {silent, next}: Hosts,
  options?: RelayOptions,
): Promise<ReceivedStream> {
  const listHosts = (): RelayHostStandin[] =>
    silent.sends.length === 0 ? [silent] : [silent, next];
  return runRelayedStream(listHosts, options);
}

const NEXT_HOSTS: readonly [string, RelayScript][] = [
  ['declines it', sendDeclined],
  [
    'refuses it',
    ({response}) => {
      response.writeHead(503).end('{}');
    },
  ],
  [
    'answers with an error',
    ({response}) => {
      response.writeHead(500).end('fault');
    },
  ],
  [
    'resets it',
    ({request}) => {
      request.socket.resetAndDestroy();
    },
  ],
  [
    'cuts it before its first event',
    async (send) => {
      startEvents(send);
      await pause(20);
      send.request.socket.destroy();
    },
  ],
  [
    'leaves events out',
    async (send) => {
      startEvents(send);
      await sendEvents(send, send.firstId + 2, ALL_IDS.length + 1);
      send.response.end();
    },
  ],
];

const OPTIONS: readonly [string, RelayOptions][] = [
  ['any retry is left', {}],
  ['one retry is left', {retries: 1}],
  ['two attempts are allowed', {route: {maxAttempts: 2}}],
];

describe(
  'a relayed stream stays at its silent host',
  {concurrency: true},
  () => {
    for (const [what, script] of NEXT_HOSTS) {
      for (const [when, options] of OPTIONS) {
        it(`though the next one ${what} and ${when}`, async () => {
          await runWithHosts(async (hosts) => {
            hosts.next.script = script;
            const {outcome, ids} = await sendStream(hosts, options);
            assert.equal(outcome, 'answered');
            assert.deepEqual(ids, ALL_IDS);
            assert.equal(hosts.silent.sends.length, 1);
            assert.ok(hosts.next.sends.length > 0);
          });
        });
      }
    }

    it('before its first event, though the next one declines it', async () => {
      await runWithHosts(async (hosts) => {
        const {silent, next} = hosts;
        silent.script = async (send) => {
          await silent.runSilence(SILENCE_MS);
          await streamToEnd(send);
        };
        next.script = sendDeclined;
        const {outcome, ids} = await sendStream(hosts, {retries: 1});
        assert.equal(outcome, 'answered');
        assert.deepEqual(ids, ALL_IDS);
        assert.equal(silent.sends.length, 1);
        assert.ok(next.sends.length > 0);
      });
    });

    it('when no other one answers probes', async () => {
      await runWithHosts(async (hosts) => {
        void hosts.next.runSilence(STANDSTILL_MS);
        const {outcome, ids, takenRetries} = await sendStream(hosts);
        assert.equal(outcome, 'answered');
        assert.deepEqual(ids, ALL_IDS);
        assert.equal(hosts.silent.sends.length, 1);
        assert.equal(takenRetries, 0);
      });
    });

    it('when there is no other one', async () => {
      await runWithHosts(async (hosts) => {
        const {outcome, ids} = await runRelayedStream(() => [hosts.silent]);
        assert.equal(outcome, 'answered');
        assert.deepEqual(ids, ALL_IDS);
        assert.equal(hosts.silent.sends.length, 1);
      });
    });

    it('when it must not be sent again', async () => {
      await runWithHosts(async (hosts) => {
        const route = {isResumable: false};
        const {outcome, ids} = await sendStream(hosts, {route});
        assert.equal(outcome, 'answered');
        assert.deepEqual(ids, ALL_IDS);
        assert.equal(hosts.next.sends.length, 0);
      });
    });
  },
);

describe('a relayed stream leaves its silent host', {concurrency: true}, () => {
  // Guards against streams that wait for a host until their time is over.
  it('for one that continues it, and closes the silent one', async () => {
    await runWithHosts(async (hosts) => {
      const {outcome, ids, takenRetries} = await sendStream(hosts);
      assert.equal(outcome, 'answered');
      assert.deepEqual(ids, ALL_IDS);
      assert.equal(takenRetries, 1);
      assert.equal(hosts.next.sends.length, 1);
      const [send] = hosts.silent.sends;
      assert.equal(send?.request.socket.destroyed, true);
    }, STANDSTILL_MS);
  });

  // Guards against two hosts that work on one stream for long.
  it('for one that took it but has not gone on yet', async () => {
    await runWithHosts(async (hosts) => {
      const {silent, next} = hosts;
      let wasLeft = false;
      next.script = async (send) => {
        startEvents(send);
        await pause(1000);
        const [first] = silent.sends;
        wasLeft = first?.request.socket.destroyed === true;
        await sendEvents(send, send.firstId, ALL_IDS.length + 1);
        send.response.end();
      };
      const {outcome, ids} = await sendStream(hosts);
      assert.equal(outcome, 'answered');
      assert.deepEqual(ids, ALL_IDS);
      assert.equal(wasLeft, true);
    }, STANDSTILL_MS);
  });

  // Guards against the head of one run above the events of another.
  it('with the head of the one that brings the first event', async () => {
    await runWithHosts(async (hosts) => {
      const {silent, next} = hosts;
      silent.script = async (send) => {
        startEvents(send, {'X-Served-By': 'silent'});
        await silent.runSilence(STANDSTILL_MS);
      };
      next.script = async (send) => {
        startEvents(send, {'X-Served-By': 'next'});
        await sendEvents(send, send.firstId, ALL_IDS.length + 1);
        send.response.end();
      };
      const {outcome, ids, lines} = await sendStream(hosts);
      assert.equal(outcome, 'answered');
      assert.deepEqual(ids, ALL_IDS);
      const served = lines.find(([name]) => name === 'X-Served-By');
      assert.equal(served?.[1], 'next');
    }, STANDSTILL_MS);
  });

  it('for another one after the first that was tried declined', async () => {
    await runWithHosts(async (hosts) => {
      const third = new RelayHostStandin('third');
      await third.start();
      hosts.next.script = sendDeclined;
      const {silent, next} = hosts;
      const {outcome, ids} = await runRelayedStream(() =>
        silent.sends.length === 0
          ? [silent]
          : next.sends.length === 0
            ? [silent, next]
            : [silent, next, third],
      );
      third.stop();
      assert.equal(outcome, 'answered');
      assert.deepEqual(ids, ALL_IDS);
      assert.equal(third.sends.length, 1);
    }, STANDSTILL_MS);
  });
});

// Apart from the others, as it blocks their event loop as well.
describe('a relayed stream stays at its silent host', () => {
  it('though this host stands still while the next one fails', async () => {
    await runWithHosts(async (hosts) => {
      hosts.next.script = ({response}) => {
        response.writeHead(500).end('fault');
        // The answer is sent at the end of this turn.
        setImmediate(() => {
          waitBlockedNow(STALL_MS);
        });
      };
      const {outcome, ids} = await sendStream(hosts, {retries: 1});
      assert.equal(outcome, 'answered');
      assert.deepEqual(ids, ALL_IDS);
      assert.equal(hosts.next.sends.length, 1);
    });
  });
});
