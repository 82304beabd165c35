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
 * The planner's own copy of the edges' history, and the account of loads ahead. Rows are kept by the number their edge
 * gave them, so what is told twice counts once. Rows and the number to go on from are written in one commit. Callers
 * serialise.
 */
final class PlannerStore implements Closeable {
  private static final String FORMAT = "1";
  private static final int MOST_DROPPED = 50_000;

  /** Where the reading of one edge's history stands. */
  record Cursor(String history, long next) {}

  private final MVStore store;
  private final MVMap<String, byte[]> rows;
  private final MVMap<Integer, String> cursors;
  private final MVMap<String, byte[]> loads;
  private final MVMap<String, Long> loadsKept;
  private final MVMap<String, byte[]> facts;
  private final long epoch;

  private PlannerStore(MVStore store) {
    this.store = store;
    MVMap<String, String> about = store.openMap("about");
    String format = about.getOrDefault("format", FORMAT);
    if (!format.equals(FORMAT)) {
      throw new IllegalArgumentException(
          "its format is " + format + " and this program reads " + FORMAT);
    }
    about.put("format", FORMAT);
    epoch = Long.parseLong(about.getOrDefault("epoch", "0")) + 1;
    about.put("epoch", Long.toString(epoch));
    rows = store.openMap("rows");
    cursors = store.openMap("cursors");
    loads = store.openMap("loads");
    loadsKept = store.openMap("loadsKept");
    facts = store.openMap("facts");
    commit();
    store.sync();
  }

  /** Opens a directory's store; the text of the error names it. */
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
              + ". Way out: move it away; the edges then tell their history anew, the account begins anew.",
          e);
    }
  }

  /** How often this store was opened: a planner that starts later counts as newer. */
  long epoch() {
    return epoch;
  }

  /** Where the reading of an edge stands; the beginning of an unknown one. */
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

  /** Takes rows of an edge's history, numbered from {@code from}. Committed with {@link #commit}. */
  void take(int edge, String history, long from, long next, List<HistoryRow> all) {
    for (int i = 0; i < all.size(); i++) {
      rows.put(
          key(all.get(i).startMinute(), edge, history, from + i), all.get(i).toBytes());
    }
    cursors.put(edge, history + " " + next);
  }

  /** Forgets rows of an edge's history from a number on: they come again, compacted. */
  void forgetFrom(int edge, String history, long from) {
    String of = String.format("/%05d/%s/", edge, history);
    List<String> gone = new ArrayList<>();
    for (var at = rows.keyIterator(null); at.hasNext(); ) {
      String key = at.next();
      int slash = key.lastIndexOf('/');
      if (key.startsWith(of, key.indexOf('/'))
          && Long.parseLong(key.substring(slash + 1)) >= from) {
        gone.add(key);
      }
    }
    gone.forEach(rows::remove);
  }

  /** Every row, by its minute. */
  void eachRow(BiConsumer<Integer, HistoryRow> hearer) {
    for (var at = rows.cursor(null); at.hasNext(); ) {
      String key = at.next();
      int slash = key.indexOf('/');
      hearer.accept(
          Integer.parseInt(key.substring(slash + 1, slash + 6)), HistoryRow.of(at.getValue()));
    }
  }

  long rows() {
    return rows.sizeAsLong();
  }

  /** Drops rows and records older than this minute, some at a time. */
  void dropBefore(long minute) {
    dropBefore(rows, minute);
    dropBefore(loads, minute);
  }

  private static void dropBefore(MVMap<String, byte[]> byMinute, long minute) {
    List<String> gone = new ArrayList<>();
    for (var at = byMinute.keyIterator(null); at.hasNext() && gone.size() < MOST_DROPPED; ) {
      String key = at.next();
      if (Long.parseLong(key.substring(0, key.indexOf('/'))) >= minute) {
        break;
      }
      gone.add(key);
    }
    gone.forEach(byMinute::remove);
  }

  /** Keeps a record of a load ahead; one that was told before is passed over. Returns true where it is new. */
  boolean load(int edge, long boot, LoadAhead load) {
    String life = edge + " " + boot;
    if (load.getNumber() <= loadsKept.getOrDefault(life, 0L)) {
      return false;
    }
    loadsKept.put(life, load.getNumber());
    loads.put(
        String.format(
            "%012d/%05d/%010d/%020d",
            load.getOrderedAt() / 60_000_000, edge, boot, load.getNumber()),
        load.toByteArray());
    return true;
  }

  /** The number up to which records of an edge's life are kept. */
  long loadsKept(int edge, long boot) {
    return loadsKept.getOrDefault(edge + " " + boot, 0L);
  }

  /** Every record of a load ahead, by its time. */
  void eachLoad(Consumer<LoadAhead> hearer) throws IOException {
    for (var at = loads.cursor(null); at.hasNext(); ) {
      at.next();
      try {
        hearer.accept(LoadAhead.parseFrom(at.getValue()));
      } catch (InvalidProtocolBufferException e) {
        throw new IOException("a record of a load ahead is damaged", e);
      }
    }
  }

  /** What is known of a function's copies, kept so that a planner that restarts can plan at once. */
  void fact(String function, byte[] seen) {
    facts.put(function, seen);
  }

  void eachFact(BiConsumer<String, byte[]> hearer) {
    for (var at = facts.cursor(null); at.hasNext(); ) {
      hearer.accept(at.next(), at.getValue());
    }
  }

  /** Writes what was put; it survives a kill from then on. */
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
