/** Where something listens: an IP number and a port, written `ip:port`. */
import {BlockList, isIP, isIPv6} from 'node:net';

/** A place in parts. */
export interface PlaceParts {
  /** The IP number, without brackets. */
  readonly host: string;
  readonly port: number;
}

/** Splits `ip:port`; brackets around an IPv6 number are taken off. */
export function splitPlace(place: string): PlaceParts {
  const colon = place.lastIndexOf(':');
  const host = place.slice(0, colon).replace(/^\[|\]$/g, '');
  return {host, port: Number(place.slice(colon + 1))};
}

const PLACE = /^(?:[\d.]+|\[[\da-fA-F:.]+\]):\d{1,5}$/;
const MAX_PORT = 65_535;

/** Addresses that a process listens on, and that name no remote one. */
const UNSPECIFIED = new BlockList();
UNSPECIFIED.addAddress('0.0.0.0');
UNSPECIFIED.addAddress('::', 'ipv6');

/** Whether a text is the place of a listener; port 0 stands for any. */
export function isPlace(text: string): boolean {
  if (!PLACE.test(text)) return false;
  const {host, port} = splitPlace(text);
  return isIP(host) !== 0 && port <= MAX_PORT;
}

/** Whether a text is a place to which a connection can be opened. */
export function isRemotePlace(text: string): boolean {
  if (!isPlace(text)) return false;
  const {host, port} = splitPlace(text);
  return port > 0 && !UNSPECIFIED.check(host, isIPv6(host) ? 'ipv6' : 'ipv4');
}
