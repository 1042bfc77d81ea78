/** Finds endpoints by the address in their entries. */
import {err, ok, type Result} from 'neverthrow';
import type {EndpointEntry} from '../model/endpoint_entry.js';
import type {EndpointRecord} from '../serving/endpoint_record.js';

/** Maps addresses to endpoints; several endpoints may have the same address. */
export class AddressIndex {
  private readonly records = new Map<string, Set<EndpointRecord>>();

  add(record: EndpointRecord): void {
    const {address} = record;
    const known = this.records.get(address);
    if (known === undefined) this.records.set(address, new Set([record]));
    else known.add(record);
  }

  delete(record: EndpointRecord): void {
    const {address} = record;
    const known = this.records.get(address);
    known?.delete(record);
    if (known?.size === 0) this.records.delete(address);
  }

  /** Lists the endpoints with an address. */
  list(address: string): EndpointRecord[] {
    return [...(this.records.get(address) ?? [])];
  }
}

/**
 * Rejects an entry with the address of a host: a request sent there would be
 * forwarded to the endpoints again.
 */
export function checkAddress(
  entry: EndpointEntry,
  hostAddresses: ReadonlySet<string>,
): Result<EndpointEntry, string> {
  if (!hostAddresses.has(entry.address)) return ok(entry);
  return err('its address is that of a host');
}
