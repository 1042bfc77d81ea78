/** A requested configuration change. */
import type {Change, KindName} from '@irisdock/resources';

/** A validated request to put or delete a resource. */
export interface ChangeRequest {
  readonly operationId: string;
  readonly actor: string;
  readonly action: Change['action'];
  readonly kind: KindName;
  readonly name: string;
  /** The spec to put, validated for its kind; null for a delete. */
  readonly spec: unknown;
  /** The version the resource must have; 0: absent; undefined: any. */
  readonly expectedVersion: number | undefined;
}
