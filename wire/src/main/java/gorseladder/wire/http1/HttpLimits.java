package gorseladder.wire.http1;

/**
 * Bounds on what a peer may send.
 *
 * @param maxLineBytes bytes of the start line or of one header field, without its line end; more than 0
 * @param maxFields header fields; more than 0
 * @param maxHeadBytes bytes of the whole header section; more than 0
 * @param maxBodyBytes bytes of the decoded content; not negative
 */
public record HttpLimits(int maxLineBytes, int maxFields, int maxHeadBytes, long maxBodyBytes) {
  public HttpLimits {
    if (maxLineBytes <= 0 || maxFields <= 0 || maxHeadBytes <= 0 || maxBodyBytes < 0) {
      throw new IllegalArgumentException("impossible HTTP limits");
    }
  }

  /** Bounds for peers that the operator runs. */
  public static final HttpLimits INTERNAL = new HttpLimits(16_384, 100, 65_536, 16L << 20);
}
