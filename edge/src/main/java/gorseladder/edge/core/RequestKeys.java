package gorseladder.edge.core;

import gorseladder.store.RequestKey;
import java.util.List;

/**
 * What the ledger keeps of a signed request, so that a replay of it is refused.
 *
 * @param keys see {@link SignedRequest#keysToRecord}
 * @param keepUntil when the keys expire, by the ledger's clock, in microseconds
 */
public record RequestKeys(List<RequestKey> keys, long keepUntil) {
  /** No keys, for a request that is on record already. */
  public static final RequestKeys NONE = new RequestKeys(List.of(), 0);
}
