package gorseladder.node.front;

import gorseladder.node.NodeCall;
import gorseladder.runtime.Clock;
import java.util.Arrays;
import java.util.Map;

/**
 * A request on a client connection, from BEGIN_REQUEST to the end of its body; records that still arrive for it after
 * its answer are ignored. Its state is guarded by the lock of its connection.
 */
final class FrontRequest {
  private static final byte[] EMPTY = {};
  /** Memory of a map of parameters, and of each entry beside its characters: the entry and two strings. */
  private static final int PARAMS_BYTES = 208;

  private static final int PARAM_BYTES = 168;
  /** Minimum size of the buffer, once it has bytes. */
  private static final int MIN_BUFFER_BYTES = 256;

  final FrontConnection connection;
  final int id;
  final long startedAt = Clock.micros();
  byte[] buffer = EMPTY;
  int used;
  /** The parameters, from when all have arrived until the request is complete or answered; else null. */
  Map<String, String> params;
  /** Whether all parameters have arrived. */
  boolean hasParams;
  /** Whether its last byte has arrived; until then it is a partial request. */
  boolean complete;

  NodeCall call;
  boolean answered;
  /** Bytes taken from the budget of the front for the buffer. */
  private int reservedBytes;

  FrontRequest(FrontConnection connection, int id) {
    this.connection = connection;
    this.id = id;
  }

  /** Whether it still holds memory for bytes that may never come. */
  boolean isPartial() {
    return !answered && !complete;
  }

  /** By how many bytes the buffer must grow to hold this many more, within the limit. */
  int growthFor(int length, int limit) {
    int wanted = used + length;
    return wanted <= buffer.length
        ? 0
        : Math.min(limit, Math.max(MIN_BUFFER_BYTES, Math.max(wanted, 2 * used))) - buffer.length;
  }

  /** Appends bytes; the growth of the buffer is already taken from the budget. */
  void append(byte[] bytes, int from, int length, int growth) {
    if (growth > 0) {
      buffer = Arrays.copyOf(buffer, buffer.length + growth);
      reservedBytes += growth;
    }
    System.arraycopy(bytes, from, buffer, used, length);
    used += length;
  }

  /** By how many bytes its reservation has to change to hold these parameters instead of the buffer. */
  int growthForParams(Map<String, String> parsed) {
    int bytes = PARAMS_BYTES;
    for (Map.Entry<String, String> param : parsed.entrySet()) {
      bytes += PARAM_BYTES + param.getKey().length() + param.getValue().length();
    }
    return bytes - reservedBytes;
  }

  /** Replaces the buffer by the parameters; the change of the reservation is already made in the budget. */
  void setParams(Map<String, String> parsed, int growth) {
    params = parsed;
    hasParams = true;
    reservedBytes += growth;
    buffer = EMPTY;
    used = 0;
  }

  /** Returns the body and drops the buffer. */
  byte[] takeBody() {
    byte[] body = used == buffer.length ? buffer : Arrays.copyOf(buffer, used);
    buffer = EMPTY;
    return body;
  }

  /** Drops the buffer and the parameters; returns the bytes to give back to the budget. */
  int release() {
    int bytes = reservedBytes;
    reservedBytes = 0;
    params = null;
    buffer = EMPTY;
    used = 0;
    return bytes;
  }
}
