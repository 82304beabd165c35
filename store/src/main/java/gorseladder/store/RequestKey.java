package gorseladder.store;

/**
 * A key of a signed request, with its place in the index of one {@link Ledger}, so that several lookups and the record
 * compute that once.
 *
 * @param name the key as it is recorded
 * @param first first half of the index digest
 * @param second second half of the index digest
 */
public record RequestKey(String name, long first, long second) {}
