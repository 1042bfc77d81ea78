/**
 * The service `hostlist`: polls the platform's host list, which lags behind the
 * actual state, and publishes it to other services. When the list cannot be
 * read, the last one stays in use.
 */
import {
  Channel,
  createService,
  createServiceKey,
  Repeater,
} from '@irisdock/kernel';
import {LeavingHoldDown} from '@irisdock/decisions';
import type {ListedHost} from '@irisdock/storage';
import type {Stream} from 'most';
import * as z from 'zod';
import {MEMBERSHIP} from './membership.js';
import {PLATFORM} from './platform.js';

/** Publishes the endpoints of the host list. */
export interface HostListFeed {
  /** The endpoints after each successful read of the list. */
  readonly lists: Stream<readonly ListedHost[]>;
}

/** The key of the service. */
export const HOST_LIST = createServiceKey<HostListFeed>('hostlist');

const SETTINGS = z.object({
  pollMs: z.coerce.number().int().min(50).default(1000).meta({
    unit: 'ms',
    description: 'Interval between two reads of the host list.',
  }),
  leavingHoldMs: z.coerce.number().int().min(0).default(5000).meta({
    unit: 'ms',
    description:
      'How long an endpoint counts as leaving after it was last listed so.',
  }),
});

/** Declares the service. */
export const HOST_LIST_SERVICE = createService({
  key: HOST_LIST,
  settings: SETTINGS,
  needs: [MEMBERSHIP, PLATFORM],
  create(context, settings) {
    const membership = context.find(MEMBERSHIP);
    const {hosts} = context.find(PLATFORM);
    const listChannel = new Channel<readonly ListedHost[]>();
    // No hold-down for entry hosts: one that restarts at its address announces
    // itself immediately.
    const entryHosts = new LeavingHoldDown<ListedHost>(0);
    const endpointHosts = new LeavingHoldDown<ListedHost>(
      settings.leavingHoldMs,
    );
    const polls = new Repeater(
      (signal) => context.clock.wait(settings.pollMs, signal),
      async () => {
        const list = await hosts.listHosts();
        if (list.isErr()) {
          context.log.writeDebug('Reading the host list failed.', {
            error: list.error.message,
          });
          return;
        }
        const now = context.clock.getNow();
        const {entry, endpoint} = splitByRole(list.value);
        membership.applyHostList(
          getStatesByAddress(entryHosts.apply(entry, now)),
        );
        listChannel.post(endpointHosts.apply(endpoint, now));
      },
      context.log,
    );
    return {
      api: {lists: listChannel.stream},
      start() {
        // Deferred so that other services subscribe before the first read.
        setImmediate(() => {
          polls.start();
        });
        return Promise.resolve();
      },
      stop: () => polls.stop(),
    };
  },
});

function splitByRole(
  list: readonly ListedHost[],
): Record<ListedHost['role'], ListedHost[]> {
  const hosts: Record<ListedHost['role'], ListedHost[]> = {
    entry: [],
    endpoint: [],
  };
  for (const host of list) hosts[host.role].push(host);
  return hosts;
}

function getStatesByAddress(
  hosts: readonly ListedHost[],
): Map<string, ListedHost['state']> {
  return new Map(hosts.map((host) => [host.address, host.state]));
}
