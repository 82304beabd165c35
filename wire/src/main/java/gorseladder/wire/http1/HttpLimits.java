package gorseladder.wire.http1;

/**
 * Limits on a message that a peer sends.
 *
 * @param maxLineBytes length of the start line or of one header field, without its line end; more than 0
 * @param maxFields number of header fields; more than 0
 * @param maxHeadBytes length of the whole header section; more than 0
 * @param maxBodyBytes length of the decoded content; not negative
 */
public record HttpLimits(int maxLineBytes, int maxFields, int maxHeadBytes, long maxBodyBytes) {
  public HttpLimits {
    if (maxLineBytes <= 0 || maxFields <= 0 || maxHeadBytes <= 0 || maxBodyBytes < 0) {
      throw new IllegalArgumentException("an HTTP limit is out of range");
    }
  }

  /** Limits for connections between the operator's own services. */
  public static final HttpLimits INTERNAL = new HttpLimits(16_384, 100, 65_536, 16L << 20);
}
