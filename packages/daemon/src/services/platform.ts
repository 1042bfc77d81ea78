/** The service `platform`: clients of the platform's services. */
import {
  createService,
  createServiceKey,
  IP_PORT_SCHEMA,
} from '@irisdock/kernel';
import {
  HttpPlatform,
  type HostList,
  type ObjectStore,
  type TableService,
} from '@irisdock/storage';
import * as z from 'zod';

/** The platform's table, object store and host list. */
export interface Platform {
  readonly table: TableService;
  readonly objects: ObjectStore;
  readonly hosts: HostList;
}

/** The key of the service. */
export const PLATFORM = createServiceKey<Platform>('platform');

const SETTINGS = z.object({
  address: IP_PORT_SCHEMA.meta({
    unit: 'ip:port',
    description: 'Address of the platform.',
  }),
  timeoutMs: z.coerce.number().int().min(50).default(1500).meta({
    unit: 'ms',
    description: 'Maximum duration of a call to the platform.',
  }),
});

/** Declares the service. */
export const PLATFORM_SERVICE = createService({
  key: PLATFORM,
  settings: SETTINGS,
  needs: [],
  create(_context, settings) {
    const client = new HttpPlatform(settings.address, settings.timeoutMs);
    return {
      api: {table: client, objects: client, hosts: client},
      stop: () => client.close(),
    };
  },
});
