package gorseladder.node.runners;

import gorseladder.attempts.AttemptOutcomes;
import gorseladder.attempts.AttemptOutcomes.Ending;
import gorseladder.permits.Permits;
import gorseladder.runtime.ByteBudget;
import gorseladder.runtime.Clock;
import gorseladder.runtime.LocalShortage;
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
import java.util.stream.Stream;

/**
 * One connection to a runner: a thread that opens it and then reads it, an outbox, and what is out on it. Every request
 * on it ends in exactly one of: its answer, {@link RunnerRequest#broken}, or being given up by its owner.
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
  private final AnswerBytes answerBytes;
  private final Outbox outbox;
  private final Owner owner;
  private final Map<String, RunnerRequest> out = new HashMap<>();
  private final Set<String> abandoned = new HashSet<>();
  /** Ends of requests given up, to be told once that has left, or the connection has ended. */
  private final Set<GivenUp> givingUp = new HashSet<>();

  private boolean open;
  private boolean closed;
  private boolean retired;
  private volatile long usedAt = Clock.micros();
  private volatile long heardAt;

  LinkConnection(
      InetSocketAddress address, long connect, int mostAnswer, Executor writers, Owner owner)
      throws IOException {
    this(
        address,
        connect,
        mostAnswer,
        writers,
        new AnswerBytes(new ByteBudget(Long.MAX_VALUE), () -> false),
        owner,
        SocketChannel::open);
  }

  LinkConnection(
      InetSocketAddress address,
      long connect,
      int mostAnswer,
      Executor writers,
      AnswerBytes answerBytes,
      Owner owner,
      ChannelSource channels)
      throws IOException {
    this.answerBytes = answerBytes;
    this.address = address;
    this.connectMillis = (int) Math.max(1, connect / 1000);
    this.parser = new AnswerParser(mostAnswer, answerBytes);
    this.owner = owner;
    this.channel = channels.open();
    this.outbox = new Outbox(writers, MOST_WAITING_BYTES, e -> close(Ending.BROKEN, e.toString()));
  }

  /** Opens the connection and reads it until its end; the whole life of its thread. */
  void run() {
    try {
      try {
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        channel.socket().connect(address, connectMillis);
      } catch (IOException e) {
        close(LocalShortage.is(e) ? Ending.NO_RESOURCE : Ending.CONNECT_FAILED, e.toString());
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
    } catch (Error e) {
      // Of this process: before the connection is open it says nothing of the runner.
      close(isOpen() ? Ending.BROKEN : Ending.NO_RESOURCE, e.toString());
    }
  }

  /** Lets go of a connection that was never used: its thread could not be started. */
  void discard() {
    try {
      channel.close();
    } catch (IOException e) {
      // Nothing is left to release.
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
    RunnerRequest request;
    synchronized (this) {
      request = out.remove(answer.id());
      usedAt = heardAt;
    }
    if (request != null) {
      outbox.readUpTo(request.writtenUpTo());
      request.answered(answer);
    }
    closeIfDone();
  }

  /** Takes a request; false where it cannot, and then this connection says nothing more of it. */
  boolean carry(RunnerRequest request) {
    synchronized (this) {
      if (closed || retired || out.putIfAbsent(request.id(), request) != null) {
        return false;
      }
      usedAt = Clock.micros();
    }
    if (!outbox.put(leaving(request))) {
      synchronized (this) {
        // Where it is out no more, the end of this connection has told it already, and it may
        // be on its way elsewhere.
        return !out.remove(request.id(), request);
      }
    }
    if (request.over()) {
      // It was given up while it was handed over, and found nothing to take back here.
      drop(request);
    }
    return true;
  }

  private Outbox.Item leaving(RunnerRequest request) {
    return new Outbox.Item() {
      @Override
      public byte[] take() {
        return request.take(LinkConnection.this);
      }

      @Override
      public int size() {
        return request.size();
      }

      @Override
      public void written(long at, long upTo) {
        request.writtenUpTo(upTo);
        request.written(at);
      }
    };
  }

  /** Forgets a request that ended before anything of it was written. */
  void drop(RunnerRequest request) {
    synchronized (this) {
      out.remove(request.id(), request);
    }
    closeIfDone();
  }

  /**
   * The end of a request that was given up after it left: told once, when its halt has left or the connection has
   * ended.
   */
  private final class GivenUp implements Outbox.Item {
    private final byte[] halt;
    private final Runnable told;

    private GivenUp(byte[] halt, Runnable told) {
      this.halt = halt;
      this.told = told;
    }

    @Override
    public byte[] take() {
      return halt;
    }

    @Override
    public int size() {
      return halt.length;
    }

    @Override
    public void written(long at, long upTo) {
      tell();
    }

    private void tell() {
      boolean first;
      synchronized (LinkConnection.this) {
        first = givingUp.remove(this);
      }
      if (first) {
        told.run();
      }
      closeIfDone();
    }
  }

  /**
   * Gives a request up that was written; whatever still comes for it is dropped.
   *
   * @param givenUp run once this is on the wire, or the connection has ended
   */
  void abandon(RunnerRequest request, byte[] halt, boolean carriesOn, Runnable givenUp) {
    GivenUp end = halt == null ? null : new GivenUp(halt, givenUp);
    boolean over;
    synchronized (this) {
      over = !out.remove(request.id(), request) || closed;
      if (!over) {
        abandoned.add(request.id());
        retired |= !carriesOn || abandoned.size() > MOST_ABANDONED;
        if (end != null) {
          givingUp.add(end);
        }
      }
    }
    if (over || end == null) {
      givenUp.run();
    } else if (!outbox.put(end)) {
      close(Ending.BROKEN, "the runner does not read");
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

  /** Requests out. */
  synchronized int carrying() {
    return out.size();
  }

  /** True while something waits to be written or is being written. */
  boolean hasUnwritten() {
    return !outbox.idle();
  }

  /** Microseconds for which it has carried nothing new. */
  long idle(long now) {
    return now - usedAt;
  }

  long heardAt() {
    return heardAt;
  }

  /** Bytes of unfinished answers that it has this process keep. */
  int answerBytes() {
    return answerBytes.kept();
  }

  /** The one of these that has most bytes of unfinished answers kept; null where there is none. */
  static LinkConnection keepsMost(Stream<LinkConnection> connections) {
    return connections
        .max((a, b) -> Integer.compare(a.answerBytes(), b.answerBytes()))
        .orElse(null);
  }

  /** Closes it where nothing is out on it; false where something is. */
  boolean closeIfFree() {
    synchronized (this) {
      if (closed || !Permits.mayCloseLink(out.size()).allowed()) {
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
      done = retired && givingUp.isEmpty() && Permits.mayCloseLink(out.size()).allowed() && !closed;
    }
    if (done) {
      close(Ending.BROKEN, "retired");
    }
  }

  /** True where a write has been under way for more microseconds than that. */
  boolean isStuck(long now, long most) {
    long since = outbox.writingSince();
    return since > 0 && now - since > most;
  }

  /** Closes it where a write has been stuck for so long. */
  void closeIfStuck(long now, long most) {
    if (isStuck(now, most)) {
      close(Ending.BROKEN, "the runner does not read");
    }
  }

  void close(Ending ending, String why) {
    List<RunnerRequest> left;
    List<GivenUp> ends;
    boolean was;
    synchronized (this) {
      if (closed) {
        return;
      }
      closed = true;
      was = open;
      left = new ArrayList<>(out.values());
      out.clear();
      ends = new ArrayList<>(givingUp);
    }
    outbox.close();
    answerBytes.end();
    try {
      channel.close();
    } catch (IOException e) {
      // Nothing is left to release.
    }
    Ending told = AttemptOutcomes.endingOfConnection(ending, owner.closed(this, was, why));
    ends.forEach(GivenUp::tell);
    left.forEach(request -> request.broken(this, told));
  }
}
