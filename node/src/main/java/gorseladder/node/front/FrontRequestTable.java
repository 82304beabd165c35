package gorseladder.node.front;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The unanswered requests of one client connection. Nothing is kept of a request that is answered before its last byte
 * has arrived: such requests are only counted, until their ends arrive. Guarded by the lock of the connection.
 */
final class FrontRequestTable {
  private final Map<Integer, FrontRequest> unanswered = new HashMap<>();
  /** Requests whose last byte has not arrived, answered or not. */
  private int unfinished;
  /** The unfinished ones that are answered. */
  private int answeredEarly;

  /** The unanswered request with this id, or null. */
  FrontRequest get(int id) {
    return unanswered.get(id);
  }

  /** Adds a request that has begun. */
  void add(FrontRequest request) {
    unanswered.put(request.id, request);
    unfinished++;
  }

  /** Counts a request that has begun and was answered at once. */
  void addAnswered() {
    unfinished++;
    answeredEarly++;
  }

  /** Notes that the last byte of a request has arrived. */
  void complete(FrontRequest request) {
    request.complete = true;
    unfinished--;
  }

  /** Removes a request that was answered; returns whether it was contained. */
  boolean remove(FrontRequest request) {
    boolean contained = unanswered.remove(request.id, request);
    answeredEarly += contained && !request.complete ? 1 : 0;
    return contained;
  }

  /** Notes the end of a request that was answered before, or of one that never began. */
  void endOfAnswered() {
    if (answeredEarly > 0) {
      answeredEarly--;
      unfinished--;
    }
  }

  /** Number of unanswered requests. */
  int unansweredCount() {
    return unanswered.size();
  }

  /** Number of requests that have begun and whose last byte has not arrived, answered or not. */
  int unfinishedCount() {
    return unfinished;
  }

  /** The unanswered requests. */
  Collection<FrontRequest> all() {
    return unanswered.values();
  }

  /** The unanswered requests whose last byte has not arrived. */
  List<FrontRequest> partials() {
    return unanswered.values().stream().filter(FrontRequest::isPartial).toList();
  }

  /** The unanswered request without its last byte that began first, or null. */
  FrontRequest oldestPartial() {
    FrontRequest oldest = null;
    for (FrontRequest request : unanswered.values()) {
      if (request.isPartial() && (oldest == null || request.startedAt < oldest.startedAt)) {
        oldest = request;
      }
    }
    return oldest;
  }

  /** Whether a request is complete and has no answer. */
  boolean hasComplete() {
    return unanswered.values().stream().anyMatch(request -> request.complete);
  }

  void clear() {
    unanswered.clear();
  }
}
