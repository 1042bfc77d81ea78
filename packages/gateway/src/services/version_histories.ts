/**
 * The service `versionHistory`: the software versions of each service over
 * time. docs/design/software_versions.md.
 */
import {createService, createServiceKey} from '@irisdock/kernel';
import * as z from 'zod';
import {listEndpointVersions} from '../serving/listed_versions.js';
import type {VersionHistory} from '../serving/version_history.js';
import {GATEWAY_ENDPOINTS} from './endpoints.js';

/** The key of the service. */
export const VERSION_HISTORY =
  createServiceKey<VersionHistory>('versionHistory');

/** Declares the service. */
export const VERSION_HISTORY_SERVICE = createService({
  key: VERSION_HISTORY,
  settings: z.object({}),
  needs: [GATEWAY_ENDPOINTS],
  create(context) {
    const endpoints = context.find(GATEWAY_ENDPOINTS);
    const api: VersionHistory = {
      listPossible: (service) =>
        listEndpointVersions(endpoints.listAll(), service),
    };
    return {api};
  },
});
