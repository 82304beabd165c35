package gorseladder.answers;

/**
 * Why a call ended, as named in logs, metrics and answers. The status is the HTTP status of the answer (RFC 9110
 * section 15, RFC 6585 for 429 and 431).
 */
public enum Reason {
  SERVED(Kind.SERVED, 200, "served by a runner"),
  SERVED_AGAIN(Kind.SERVED, 200, "the kept answer of the same message"),

  REFUSED_UNSENT(Kind.REFUSED, 503, "turned away before any attempt"),
  REFUSED_FULL(Kind.REFUSED, 429, "runners had no room"),
  REFUSED_COLD(Kind.REFUSED, 503, "no runner held the function in time"),
  REFUSED_UNREACHABLE(Kind.REFUSED, 503, "no runner could be reached"),
  REFUSED_HARMLESS(Kind.REFUSED, 503, "an attempt ended badly; trying again does no harm"),

  FAILED_TIMEOUT(Kind.FAILED, 504, "no answer in time; it may have run"),
  FAILED_RESET(Kind.FAILED, 502, "the connection to the runner broke; it may have run"),
  FAILED_ERROR(Kind.FAILED, 502, "the runner answered with an error; it may have run"),
  FAILED_UNKNOWN_EFFECT(Kind.FAILED, 502, "an earlier delivery of this message may have run"),
  FAILED_OVERDUE(Kind.FAILED, 504, "no decision in time; it may have run"),

  GONE(Kind.GONE, 499, "the client left before the answer"),

  BAD_MESSAGE(Kind.REJECTED, 400, "not HTTP/1.1 as RFC 9112 has it"),
  BAD_PAYLOAD(Kind.REJECTED, 400, "the payload is not a webhook event"),
  BAD_SIGNATURE(Kind.REJECTED, 401, "no signature of a live secret matches"),
  STALE_TIMESTAMP(Kind.REJECTED, 401, "the time stamp is outside the tolerance"),
  FORBIDDEN_NETWORK(Kind.REJECTED, 403, "the client's network is not allowed"),
  UNKNOWN_PATH(Kind.REJECTED, 404, "no endpoint has this path"),
  WRONG_METHOD(Kind.REJECTED, 405, "an endpoint takes POST only"),
  SLOW_SENDER(Kind.REJECTED, 408, "the request did not arrive in time"),
  REPLAYED(Kind.REJECTED, 409, "this very request was taken before"),
  TOO_LARGE(Kind.REJECTED, 413, "the body is over the limit"),
  WRONG_EXPECTATION(Kind.REJECTED, 417, "an expectation other than 100-continue"),
  CONFLICT(Kind.REJECTED, 422, "the message id was used for other content"),
  UNKNOWN_TYPE(Kind.REJECTED, 422, "no class takes this event type here"),
  HEADERS_TOO_LARGE(Kind.REJECTED, 431, "the header is over the limit"),
  NOT_IMPLEMENTED(Kind.REJECTED, 501, "a transfer coding other than chunked"),
  BUSY(Kind.REJECTED, 503, "as many calls as the settings allow are held"),
  OVERLOADED(Kind.REJECTED, 503, "more calls come than can be answered in time"),
  STOPPING(Kind.REJECTED, 503, "the edge is stopping"),
  LEDGER_UNAVAILABLE(Kind.REJECTED, 503, "the message ledger cannot be written"),
  WRONG_VERSION(Kind.REJECTED, 505, "an HTTP version other than 1.0 and 1.1");

  /** Category of a reason. Only SERVED, REFUSED and FAILED are final answers to accepted calls. */
  public enum Kind {
    SERVED,
    REFUSED,
    FAILED,
    GONE,
    REJECTED
  }

  public final Kind kind;
  public final int status;
  public final String text;

  Reason(Kind kind, int status, String text) {
    this.kind = kind;
    this.status = status;
    this.text = text;
  }

  /** The name of the reason in logs, metrics and problem details. */
  public String word() {
    return name().toLowerCase(java.util.Locale.ROOT);
  }

  /** Whether the answer invites the client to retry; only if a retry is certainly harmless. */
  public boolean invitesRetry() {
    return kind == Kind.REFUSED
        || this == BUSY
        || this == OVERLOADED
        || this == STOPPING
        || this == LEDGER_UNAVAILABLE;
  }
}
