/**
 * The service `hostlist`: follows the platform's lagging list of hosts and
 * gives it to whoever asks. When the list cannot be read, the last one stays.
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

/** The endpoints of the host list. */
export interface HostListFeed {
  /** Them each time that the list was read. */
  readonly lists: Stream<readonly ListedHost[]>;
}

/** The key of the service. */
export const HOST_LIST = createServiceKey<HostListFeed>('hostlist');

const SETTINGS = z.object({
  pollMs: z.coerce.number().int().min(50).default(1000).meta({
    unit: 'ms',
    description: 'The time between two reads of the host list.',
  }),
  leavingHoldMs: z.coerce.number().int().min(0).default(5000).meta({
    unit: 'ms',
    description: 'How long an endpoint seen leaving counts as leaving.',
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
    const channel = new Channel<readonly ListedHost[]>();
    // A host that came back at its address speaks for itself at once.
    const entries = new LeavingHoldDown<ListedHost>(0);
    const endpoints = new LeavingHoldDown<ListedHost>(settings.leavingHoldMs);
    const polls = new Repeater(
      (signal) => context.clock.wait(settings.pollMs, signal),
      async () => {
        const list = await hosts.listHosts();
        if (list.isErr()) {
          context.log.writeDebug('The list was not read.', {
            error: list.error.message,
          });
          return;
        }
        const now = context.clock.getNow();
        const {entry, endpoint} = splitByRole(list.value);
        membership.applyHostList(getStates(entries.apply(entry, now)));
        channel.post(endpoints.apply(endpoint, now));
      },
      context.log,
    );
    return {
      api: {lists: channel.stream},
      start() {
        // The services that need the list observe it before its first read.
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

function getStates(
  hosts: readonly ListedHost[],
): Map<string, ListedHost['state']> {
  return new Map(hosts.map((host) => [host.address, host.state]));
}
