/** The service `endpointNetwork`: the network between hosts and endpoints. */
import {createService, createServiceKey} from '@irisdock/kernel';
import * as z from 'zod';
import {
  TcpEndpointNetwork,
  type EndpointNetwork,
} from '../channels/endpoint_network.js';

/** The key of the service. */
export const ENDPOINT_NETWORK =
  createServiceKey<EndpointNetwork>('endpointNetwork');

/** Declares the service. */
export const ENDPOINT_NETWORK_SERVICE = createService({
  key: ENDPOINT_NETWORK,
  settings: z.object({}),
  needs: [],
  create() {
    const api: EndpointNetwork = new TcpEndpointNetwork();
    return {api};
  },
});
