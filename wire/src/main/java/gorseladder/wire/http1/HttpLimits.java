package gorseladder.wire.http1;

/**
 * Bounds on what a peer may send.
 *
 * @param maxLine bytes of the start line or of one header field, without its line end; more than 0
 * @param maxFields header fields; more than 0
 * @param maxHead bytes of the whole header section; more than 0
 * @param maxBody bytes of the decoded content; not negative
 */
public record HttpLimits(int maxLine, int maxFields, int maxHead, long maxBody) {
  public HttpLimits {
    if (maxLine <= 0 || maxFields <= 0 || maxHead <= 0 || maxBody < 0) {
      throw new IllegalArgumentException("impossible HTTP limits");
    }
  }

  /** Bounds for peers that the operator runs. */
  public static final HttpLimits INNER = new HttpLimits(16_384, 100, 65_536, 16L << 20);
}
