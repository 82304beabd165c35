package gorseladder.node.runners;

import gorseladder.attempts.AttemptFate;
import gorseladder.attempts.AttemptFate.Ending;
import gorseladder.runtime.Clock;
import gorseladder.runtime.Outbox;
import gorseladder.wire.runner.AnswerParser;
import gorseladder.wire.runner.AnswerParser.Answer;
import gorseladder.wire.runner.BadAnswer;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;

/**
 * One connection to a runner: a thread that opens it and then reads it, an outbox, and what is out on it. Every errand on it
 * ends in exactly one of: its answer, {@link Errand#broken}, or being given up by its owner.
 */
final class LinkConnection {
  private static final int READ = 8_192;
  private static final int MOST_WAITING_BYTES = 4 << 20;
  private static final int MOST_ABANDONED = 64;

  /** Hears of the connection's end. */
  interface Owner {
    /** Returns true where other connections to the runner are open. */
    boolean closed(LinkConnection connection, boolean everOpen, String why);
  }

  private final SocketChannel channel;
  private final InetSocketAddress address;
  private final int connectMillis;
  private final AnswerParser parser;
  private final Outbox outbox;
  private final Owner owner;
  private final Map<String, Errand> out = new HashMap<>();
  private final Set<String> abandoned = new HashSet<>();
  private boolean open;
  private boolean closed;
  private boolean retired;
  private volatile long usedAt = Clock.micros();
  private volatile long heardAt;

  LinkConnection(
      InetSocketAddress address, long connect, int mostAnswer, Executor writers, Owner owner)
      throws IOException {
    this.address = address;
    this.connectMillis = (int) Math.max(1, connect / 1000);
    this.parser = new AnswerParser(mostAnswer);
    this.owner = owner;
    this.channel = SocketChannel.open();
    this.outbox = new Outbox(writers, MOST_WAITING_BYTES, e -> close(Ending.BROKEN, e.toString()));
  }

  /** Opens the connection and reads it until its end; the whole life of its thread. */
  void run() {
    try {
      try {
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        channel.socket().connect(address, connectMillis);
      } catch (IOException e) {
        close(Ending.CONNECT_FAILED, e.toString());
        return;
      }
      synchronized (this) {
        open = true;
        usedAt = Clock.micros();
      }
      outbox.open(channel);
      read();
    } catch (BadAnswer e) {
      close(Ending.MALFORMED, e.getMessage());
    } catch (IOException | RuntimeException e) {
      close(Ending.BROKEN, e.toString());
    }
  }

  private void read() throws IOException, BadAnswer {
    ByteBuffer buffer = ByteBuffer.allocate(READ);
    while (true) {
      buffer.clear();
      int count = channel.read(buffer);
      if (count < 0) {
        throw new EOFException("closed by the runner");
      }
      heardAt = Clock.micros();
      parser.feed(buffer.array(), 0, count, this::answered);
    }
  }

  private void answered(Answer answer) {
    Errand errand;
    synchronized (this) {
      errand = out.remove(answer.id());
      usedAt = heardAt;
    }
    if (errand != null) {
      errand.answered(answer);
    }
    closeIfDone();
  }

  /** Takes an errand; false where it cannot, and then this connection says nothing more of it. */
  boolean carry(Errand errand) {
    synchronized (this) {
      if (closed || retired || out.putIfAbsent(errand.id(), errand) != null) {
        return false;
      }
      usedAt = Clock.micros();
    }
    if (!outbox.put(leaving(errand))) {
      synchronized (this) {
        // Where it is out no more, the end of this connection has told it already, and it may
        // be on its way elsewhere.
        return !out.remove(errand.id(), errand);
      }
    }
    if (errand.over()) {
      // It was given up while it was handed over, and found nothing to take back here.
      drop(errand);
    }
    return true;
  }

  private Outbox.Item leaving(Errand errand) {
    return new Outbox.Item() {
      @Override
      public byte[] take() {
        return errand.take(LinkConnection.this);
      }

      @Override
      public int size() {
        return errand.size();
      }
    };
  }

  /** Forgets an errand that ended before anything of it was written. */
  void drop(Errand errand) {
    synchronized (this) {
      out.remove(errand.id(), errand);
    }
    closeIfDone();
  }

  /** Gives an errand up that was written; whatever still comes for it is dropped. */
  void abandon(Errand errand, byte[] halt, boolean carriesOn) {
    synchronized (this) {
      if (!out.remove(errand.id(), errand) || closed) {
        return;
      }
      abandoned.add(errand.id());
      retired |= !carriesOn || abandoned.size() > MOST_ABANDONED;
    }
    if (halt != null) {
      outbox.put(halt);
    }
    closeIfDone();
  }

  /** True where a call of that id may be carried: the id was not given up here before. */
  synchronized boolean mayCarry(String id) {
    return !closed && !retired && !abandoned.contains(id) && !out.containsKey(id);
  }

  /** True once it came up. */
  synchronized boolean isOpen() {
    return open && !closed;
  }

  /** Errands out. */
  synchronized int carrying() {
    return out.size();
  }

  /** Microseconds for which it has carried nothing new. */
  long idle(long now) {
    return now - usedAt;
  }

  long heardAt() {
    return heardAt;
  }

  /** Closes it where nothing is out on it; false where something is. */
  boolean closeIfFree() {
    synchronized (this) {
      if (closed || !out.isEmpty()) {
        return false;
      }
      retired = true;
    }
    close(Ending.BROKEN, "closed for room");
    return true;
  }

  /** Takes nothing new; closes once nothing is out. */
  void retire() {
    synchronized (this) {
      retired = true;
    }
    closeIfDone();
  }

  private void closeIfDone() {
    boolean done;
    synchronized (this) {
      done = retired && out.isEmpty() && !closed;
    }
    if (done) {
      close(Ending.BROKEN, "retired");
    }
  }

  /** Closes it where a write has been stuck for so long. */
  void closeIfStuck(long now, long most) {
    long since = outbox.writingSince();
    if (since > 0 && now - since > most) {
      close(Ending.BROKEN, "the runner does not read");
    }
  }

  void close(Ending ending, String why) {
    List<Errand> left;
    boolean was;
    synchronized (this) {
      if (closed) {
        return;
      }
      closed = true;
      was = open;
      left = new ArrayList<>(out.values());
      out.clear();
    }
    outbox.close();
    try {
      channel.close();
    } catch (IOException e) {
      // Nothing is left to release.
    }
    Ending told = AttemptFate.ofConnection(ending, owner.closed(this, was, why));
    left.forEach(errand -> errand.broken(this, told));
  }
}
