/** Where something listens: an IP number and a port, written `ip:port`. */

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
