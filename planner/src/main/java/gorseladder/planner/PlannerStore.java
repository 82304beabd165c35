package gorseladder.planner;

import com.google.protobuf.InvalidProtocolBufferException;
import gorseladder.config.exchange.LoadAhead;
import gorseladder.store.history.HistoryRow;
import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.h2.mvstore.MVMap;
import org.h2.mvstore.MVStore;
import org.h2.mvstore.MVStoreException;

/**
 * Stores the planner's copy of the edges' history and the records of loads ahead. Rows are keyed by the number that
 * their edge gave them, so a row received twice counts once. Rows and the number of the next row are written in one
 * commit. Not thread safe.
 */
final class PlannerStore implements Closeable {
  private static final String FORMAT = "1";
  /** Maximum entries of a map that one call of {@link #deleteBefore} deletes. */
  private static final int MAX_DELETED_AT_ONCE = 50_000;

  /** The position up to which an edge's history was read. */
  record Cursor(String history, long next) {}

  private final MVStore store;
  private final MVMap<String, byte[]> rows;
  private final MVMap<Integer, String> cursors;
  private final MVMap<String, byte[]> loads;
  private final MVMap<String, Long> lastKeptLoads;
  private final MVMap<String, byte[]> profiles;
  private final long epoch;

  private PlannerStore(MVStore store) {
    this.store = store;
    MVMap<String, String> metadata = store.openMap("about");
    String format = metadata.getOrDefault("format", FORMAT);
    if (!format.equals(FORMAT)) {
      throw new IllegalArgumentException(
          "its format is " + format + " and this program reads " + FORMAT);
    }
    metadata.put("format", FORMAT);
    epoch = Long.parseLong(metadata.getOrDefault("epoch", "0")) + 1;
    metadata.put("epoch", Long.toString(epoch));
    rows = store.openMap("rows");
    cursors = store.openMap("cursors");
    loads = store.openMap("loads");
    lastKeptLoads = store.openMap("loadsKept");
    profiles = store.openMap("facts");
    commit();
    store.sync();
  }

  /**
   * Opens the store in a directory.
   *
   * @throws IOException if the store cannot be used; the message names it
   */
  static PlannerStore open(Path directory) throws IOException {
    Files.createDirectories(directory);
    Path file = directory.resolve("planner.mv");
    MVStore store = null;
    try {
      store = new MVStore.Builder()
          .fileName(file.toString())
          .autoCommitDisabled()
          .cacheSize(16)
          .open();
      store.setVersionsToKeep(0);
      return new PlannerStore(store);
    } catch (MVStoreException | IllegalArgumentException e) {
      if (store != null) {
        store.closeImmediately();
      }
      throw new IOException(
          "planner store " + file + " cannot be used: "
              + String.valueOf(e.getMessage()).lines().findFirst().orElse("")
              + ". Way out: move it away; the edges then send their history again, and the accounting starts empty.",
          e);
    }
  }

  /** Number of times this store was opened; a planner that starts later has a higher epoch. */
  long epoch() {
    return epoch;
  }

  /** The read position of an edge's history; the start if the edge is unknown. */
  Cursor cursor(int edge) {
    String text = cursors.get(edge);
    int space = text == null ? -1 : text.indexOf(' ');
    return space < 0
        ? new Cursor("", 0)
        : new Cursor(text.substring(0, space), Long.parseLong(text.substring(space + 1)));
  }

  private static String key(long minute, int edge, String history, long number) {
    return String.format("%012d/%05d/%s/%020d", minute, edge, history, number);
  }

  /** Stores rows of an edge's history, numbered from {@code from}, and the next number; written by {@link #commit}. */
  void putRows(int edge, String history, long from, long next, List<HistoryRow> newRows) {
    for (int i = 0; i < newRows.size(); i++) {
      rows.put(
          key(newRows.get(i).startMinute(), edge, history, from + i),
          newRows.get(i).toBytes());
    }
    cursors.put(edge, history + " " + next);
  }

  /** Deletes the rows of an edge's history from a number on, because the edge sends them again in compacted form. */
  void deleteRowsFrom(int edge, String history, long from) {
    String infix = String.format("/%05d/%s/", edge, history);
    List<String> deletedKeys = new ArrayList<>();
    for (var iterator = rows.keyIterator(null); iterator.hasNext(); ) {
      String key = iterator.next();
      int slash = key.lastIndexOf('/');
      if (key.startsWith(infix, key.indexOf('/'))
          && Long.parseLong(key.substring(slash + 1)) >= from) {
        deletedKeys.add(key);
      }
    }
    deletedKeys.forEach(rows::remove);
  }

  /** Calls the consumer with the edge and the row for every row, in the order of their minutes. */
  void forEachRow(BiConsumer<Integer, HistoryRow> consumer) {
    for (var iterator = rows.cursor(null); iterator.hasNext(); ) {
      String key = iterator.next();
      int slash = key.indexOf('/');
      consumer.accept(
          Integer.parseInt(key.substring(slash + 1, slash + 6)),
          HistoryRow.of(iterator.getValue()));
    }
  }

  long rowCount() {
    return rows.sizeAsLong();
  }

  /** Deletes rows and records older than a minute; a limited number at a time. */
  void deleteBefore(long minute) {
    deleteBefore(rows, minute);
    deleteBefore(loads, minute);
  }

  private static void deleteBefore(MVMap<String, byte[]> byMinute, long minute) {
    List<String> deletedKeys = new ArrayList<>();
    for (var iterator = byMinute.keyIterator(null);
        iterator.hasNext() && deletedKeys.size() < MAX_DELETED_AT_ONCE; ) {
      String key = iterator.next();
      if (Long.parseLong(key.substring(0, key.indexOf('/'))) >= minute) {
        break;
      }
      deletedKeys.add(key);
    }
    deletedKeys.forEach(byMinute::remove);
  }

  /**
   * Stores a record of a load ahead unless it was stored before.
   *
   * @param boot number of the edge's start, within which records are numbered
   * @return whether the record is new
   */
  boolean putLoad(int edge, long boot, LoadAhead load) {
    String edgeBoot = edge + " " + boot;
    if (load.getNumber() <= lastKeptLoads.getOrDefault(edgeBoot, 0L)) {
      return false;
    }
    lastKeptLoads.put(edgeBoot, load.getNumber());
    loads.put(
        String.format(
            "%012d/%05d/%010d/%020d",
            load.getOrderedAt() / 60_000_000, edge, boot, load.getNumber()),
        load.toByteArray());
    return true;
  }

  /** The number of the last stored record of one run of an edge. */
  long lastKeptLoad(int edge, long boot) {
    return lastKeptLoads.getOrDefault(edge + " " + boot, 0L);
  }

  /** Calls the consumer with every record of a load ahead, in the order of time. */
  void forEachLoad(Consumer<LoadAhead> consumer) throws IOException {
    for (var iterator = loads.cursor(null); iterator.hasNext(); ) {
      iterator.next();
      try {
        consumer.accept(LoadAhead.parseFrom(iterator.getValue()));
      } catch (InvalidProtocolBufferException e) {
        throw new IOException("a record of a load ahead is damaged", e);
      }
    }
  }

  /** Stores the profile of a function's copies, so that a restarted planner can plan at once. */
  void putProfile(String function, byte[] profile) {
    profiles.put(function, profile);
  }

  void forEachProfile(BiConsumer<String, byte[]> consumer) {
    for (var iterator = profiles.cursor(null); iterator.hasNext(); ) {
      consumer.accept(iterator.next(), iterator.getValue());
    }
  }

  /** Writes all changes; they survive a kill of the process from then on. */
  void commit() {
    store.commit();
  }

  void compact() {
    store.compact(60, 8 << 20);
  }

  @Override
  public void close() {
    store.close();
  }
}
