/**
 * Chooses the service of a request among those that its route is split between.
 * A stream that a caller resumes stays at the service that began it; if it is
 * not known which one did, the stream is refused, as another service would
 * write the rest.
 */
import {chooseShare, decideOriginService} from '@irisdock/decisions';
import type {KnownError} from '@irisdock/kernel';
import {err, ok, type Result} from 'neverthrow';
import {GATEWAY_ERRORS} from '../errors.js';
import type {ServingRoute} from '../model/serving_configuration.js';
import type {AdmittedRequest} from './caller_exchange.js';
import {createOriginKey, listOriginRecords} from './origin_lookup.js';
import {findConfirmedOrigins} from './past_confirmation.js';
import {decideRetryAfter} from './retry_after.js';
import {createNotRunError} from './send_rules.js';
import {getRandomFraction, type ServingParts} from './serving_parts.js';
import type {VersionHistory} from './version_history.js';

/** Dependencies of the choice. */
type ServiceChoiceParts = Pick<
  ServingParts,
  'clock' | 'log' | 'metrics' | 'origins' | 'random' | 'versions'
>;

/** Chooses a service; an error says why there is none. */
export async function chooseService(
  parts: ServiceChoiceParts,
  route: ServingRoute,
  request: AdmittedRequest,
): Promise<Result<string, KnownError>> {
  const {shares, kind, name} = route;
  const {random} = parts;
  const isBegun = request.metadata.lastEventId !== undefined;
  if (shares.length > 1 && kind === 'stream' && isBegun) {
    return chooseOriginService(parts, route, request);
  }
  const [onlyShare] = shares;
  const share =
    shares.length === 1
      ? onlyShare
      : chooseShare(shares, getRandomFraction(random));
  if (share !== undefined) return ok(share.service);
  return err(createNotRunError('no_endpoint', name, random));
}

/** Lists the services that may have begun a stream of a route. */
function listPossible(
  versions: VersionHistory,
  shares: ServingRoute['shares'],
): string[] {
  // A service that had no endpoints has begun no stream.
  return shares
    .map(({service}) => service)
    .filter((service) => versions.listPossible(service)?.length !== 0);
}

async function chooseOriginService(
  parts: ServiceChoiceParts,
  {shares, name}: ServingRoute,
  request: AdmittedRequest,
): Promise<Result<string, KnownError>> {
  const {versions, metrics, random, log, clock} = parts;
  const {resumedRequestId} = request.metadata;
  const {known, possible = []} = await findConfirmedOrigins(
    parts,
    () => createOriginKey(request, resumedRequestId, clock.getNow()),
    () => listPossible(versions, shares),
  );
  const {stored} = known;
  const records = listOriginRecords(known);
  const recorded = records.map(({service}) => service);
  const service = decideOriginService(recorded, possible);
  const share = shares.find((one) => one.service === service);
  if (share !== undefined && share.weight > 0) return ok(share.service);
  log.writeInfo('The service that began a stream takes no streams.', {
    request: request.requestId,
    resumes: resumedRequestId,
    route: name,
    service,
    recorded: recorded.join(),
    possible: possible.join(),
    storeRead: stored?.isRead,
    rows: stored?.rows,
  });
  const retryAfter = decideRetryAfter(random);
  const [record] = records;
  if (service === undefined || record === undefined) {
    metrics.versionRefusals.inc({reason: 'service_unknown'});
    const fields = {service: name};
    return err(GATEWAY_ERRORS.create('origin_unknown', fields, retryAfter));
  }
  metrics.versionRefusals.inc({reason: 'route_moved'});
  const {version} = record;
  const fields = {service, version};
  return err(GATEWAY_ERRORS.create('version_unavailable', fields, retryAfter));
}
