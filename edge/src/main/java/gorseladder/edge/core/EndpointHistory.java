package gorseladder.edge.core;

import com.google.protobuf.TextFormat;
import gorseladder.config.endpoints.EndpointHistoryFile;
import gorseladder.edge.core.EndpointLinks.KnownEndpoint;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * The settings that an edge has run with, as far as its ledger depends on them: endpoints that are gone while their
 * messages may still be remembered, and the earliest time stamp whose signed requests are certainly on record. Kept in
 * one file that each start reads and replaces. Immutable once opened.
 */
public final class EndpointHistory {
  private static final String FILE_NAME = "endpoints.txtpb";
  private static final long MICROS_PER_SECOND = 1_000_000;

  /** How far back the wall clock may be stepped, so that an old time stamp passes the check again. */
  private static final long CLOCK_STEP_SECONDS = 3_600;

  /**
   * The settings of this run.
   *
   * @param maxToleranceSeconds the largest tolerance of the endpoints
   * @param keepSeconds how long messages are kept
   */
  public record Current(
      List<KnownEndpoint> endpoints, long maxToleranceSeconds, long keepSeconds) {}

  private final Current current;
  private final List<KnownEndpoint> past;
  private final long recordedSince;

  private EndpointHistory(Current current, List<KnownEndpoint> past, long recordedSince) {
    this.current = current;
    this.past = past;
    this.recordedSince = recordedSince;
  }

  /**
   * Reads the history of a data directory and adds the settings of this run.
   *
   * @param now the time by the ledger's clock, in microseconds
   * @throws IOException if the file cannot be read, understood or replaced; the message names it
   */
  public static EndpointHistory open(Path directory, Current current, long now) throws IOException {
    Path file = directory.resolve(FILE_NAME);
    try {
      EndpointHistoryFile before = read(file);
      EndpointHistoryFile after = add(before, current, now);
      replace(file, TextFormat.printer().printToString(after));
      return new EndpointHistory(current, past(after), after.getRequestsRecordedSince());
    } catch (IOException e) {
      throw new IOException(
          file + " cannot be used: " + e.getMessage()
              + ". It says which messages were taken at paths that the settings no longer have",
          e);
    }
  }

  private static EndpointHistoryFile read(Path file) throws IOException {
    EndpointHistoryFile.Builder builder = EndpointHistoryFile.newBuilder();
    if (Files.exists(file)) {
      TextFormat.merge(Files.readString(file, StandardCharsets.UTF_8), builder);
    }
    return builder.build();
  }

  private static EndpointHistoryFile add(EndpointHistoryFile before, Current current, long now) {
    long messagesKeepUntil =
        Math.max(before.getMessagesKeepUntil(), now + before.getKeepS() * MICROS_PER_SECOND);
    // The clock may have been set back by a boot, but no run records requests for less than this.
    long latest = now - requestKeepSeconds(0) * MICROS_PER_SECOND;
    long recordedSince = before.hasToleranceS()
        ? Math.max(
            Math.min(before.getRequestsRecordedSince(), latest),
            now - requestKeepSeconds(before.getToleranceS()) * MICROS_PER_SECOND)
        : 0;
    EndpointHistoryFile.Builder after = EndpointHistoryFile.newBuilder()
        .setToleranceS(current.maxToleranceSeconds())
        .setKeepS(current.keepSeconds())
        .setMessagesKeepUntil(messagesKeepUntil)
        .setRequestsRecordedSince(recordedSince);
    for (KnownEndpoint endpoint : current.endpoints()) {
      after.addEndpoint(toProto(endpoint));
    }
    for (var old : before.getEndpointList()) {
      long keepUntil = old.getKeepUntil() > 0 ? old.getKeepUntil() : messagesKeepUntil;
      if (!current.endpoints().contains(fromProto(old)) && keepUntil > now) {
        after.addEndpoint(old.toBuilder().setKeepUntil(keepUntil));
      }
    }
    return after.build();
  }

  private static List<KnownEndpoint> past(EndpointHistoryFile file) {
    List<KnownEndpoint> past = new ArrayList<>();
    file.getEndpointList().stream()
        .filter(endpoint -> endpoint.getKeepUntil() > 0)
        .forEach(endpoint -> past.add(fromProto(endpoint)));
    return past;
  }

  private static gorseladder.config.endpoints.KnownEndpoint toProto(KnownEndpoint endpoint) {
    return gorseladder.config.endpoints.KnownEndpoint.newBuilder()
        .setPath(endpoint.path())
        .setTenant(endpoint.tenant())
        .addAllSecret(new TreeSet<>(endpoint.secrets()))
        .build();
  }

  private static KnownEndpoint fromProto(gorseladder.config.endpoints.KnownEndpoint endpoint) {
    return new KnownEndpoint(
        endpoint.getPath(), endpoint.getTenant(), Set.copyOf(endpoint.getSecretList()));
  }

  /** Replaces the file so that a kill at any moment leaves the old or the new one. */
  private static void replace(Path file, String text) throws IOException {
    Files.createDirectories(file.getParent());
    Path next = file.resolveSibling(FILE_NAME + ".new");
    try (FileChannel out = FileChannel.open(
        next,
        StandardOpenOption.WRITE,
        StandardOpenOption.CREATE,
        StandardOpenOption.TRUNCATE_EXISTING)) {
      ByteBuffer bytes = ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
      while (bytes.hasRemaining()) {
        out.write(bytes);
      }
      out.force(true);
    }
    Files.move(next, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
  }

  /** Returns which endpoints take messages of the same sender. */
  public EndpointLinks links() {
    return new EndpointLinks(current.endpoints(), past);
  }

  /**
   * Returns how long after its time stamp a signed request stays on record, in seconds: for as long as it can pass the
   * check of any endpoint, also after a step of the wall clock, and the tolerance as slack.
   */
  public long requestKeepSeconds() {
    return requestKeepSeconds(current.maxToleranceSeconds());
  }

  private static long requestKeepSeconds(long toleranceSeconds) {
    return 2 * toleranceSeconds + CLOCK_STEP_SECONDS;
  }

  /**
   * Returns the earliest time stamp that may be accepted, by the ledger's clock in microseconds: a run with a smaller
   * tolerance may have accepted earlier ones and no longer have them on record.
   */
  public long requestsRecordedSince() {
    return recordedSince;
  }
}
