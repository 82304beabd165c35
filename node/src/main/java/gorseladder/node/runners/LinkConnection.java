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
 * One connection to a runner: a thread that opens and then reads it, an output queue, and the requests in flight. Every
 * request on it ends in exactly one way: with its answer, by {@link RunnerRequest#connectionEnded}, or by being given
 * up by its owner.
 */
final class LinkConnection {
  private static final int READ_BUFFER_BYTES = 8_192;
  private static final int MAX_QUEUED_BYTES = 4 << 20;
  private static final int MAX_ABANDONED = 64;

  /** Is notified when the connection is closed. */
  interface Owner {
    /** Called once; returns whether other connections to the runner are open. */
    boolean closed(LinkConnection connection, boolean everOpen, String why);
  }

  private final SocketChannel channel;
  private final InetSocketAddress address;
  private final int connectMillis;
  private final AnswerParser parser;
  private final AnswerMemory answerMemory;
  private final Outbox outbox;
  private final Owner owner;
  private final Map<String, RunnerRequest> inFlight = new HashMap<>();
  private final Set<String> abandoned = new HashSet<>();
  /** Requests given up whose end is reported once their halt is written or the connection is closed. */
  private final Set<PendingHalt> pendingHalts = new HashSet<>();

  private boolean open;
  private boolean closed;
  private boolean retired;
  private volatile long lastUsedAt = Clock.micros();
  private volatile long heardAt;

  LinkConnection(
      InetSocketAddress address,
      long connectTimeout,
      int maxAnswerBytes,
      Executor writers,
      Owner owner)
      throws IOException {
    this(
        address,
        connectTimeout,
        maxAnswerBytes,
        writers,
        new AnswerMemory(new ByteBudget(Long.MAX_VALUE), () -> false),
        owner,
        SocketChannel::open);
  }

  LinkConnection(
      InetSocketAddress address,
      long connectTimeout,
      int maxAnswerBytes,
      Executor writers,
      AnswerMemory answerMemory,
      Owner owner,
      ChannelSource channels)
      throws IOException {
    this.answerMemory = answerMemory;
    this.address = address;
    this.connectMillis = (int) Math.max(1, connectTimeout / 1000);
    this.parser = new AnswerParser(maxAnswerBytes, answerMemory);
    this.owner = owner;
    this.channel = channels.open();
    this.outbox = new Outbox(writers, MAX_QUEUED_BYTES, e -> close(Ending.BROKEN, e.toString()));
  }

  /** Opens the connection and reads it until it ends; runs on the connection's own thread. */
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
        lastUsedAt = Clock.micros();
      }
      outbox.open(channel);
      read();
    } catch (BadAnswer e) {
      close(Ending.MALFORMED, e.getMessage());
    } catch (IOException | RuntimeException e) {
      close(Ending.BROKEN, e.toString());
    } catch (Error e) {
      // An error of this process; before the connection is open it says nothing about the runner.
      close(isOpen() ? Ending.BROKEN : Ending.NO_RESOURCE, e.toString());
    }
  }

  /** Closes the channel of a connection that was never used because its thread could not be started. */
  void discard() {
    try {
      channel.close();
    } catch (IOException e) {
      // Nothing is left to release.
    }
  }

  private void read() throws IOException, BadAnswer {
    ByteBuffer buffer = ByteBuffer.allocate(READ_BUFFER_BYTES);
    while (true) {
      buffer.clear();
      int count = channel.read(buffer);
      if (count < 0) {
        throw new EOFException("closed by the runner");
      }
      heardAt = Clock.micros();
      parser.feed(buffer.array(), 0, count, this::answerReceived);
    }
  }

  private void answerReceived(Answer answer) {
    RunnerRequest request;
    synchronized (this) {
      request = inFlight.remove(answer.id());
      lastUsedAt = heardAt;
    }
    if (request != null) {
      outbox.readUpTo(request.writtenUpTo());
      request.answerReceived(answer);
    }
    closeIfDone();
  }

  /** Accepts a request; returns false if it cannot, and then reports nothing about the request. */
  boolean submit(RunnerRequest request) {
    synchronized (this) {
      if (closed || retired || inFlight.putIfAbsent(request.id(), request) != null) {
        return false;
      }
      lastUsedAt = Clock.micros();
    }
    if (!outbox.put(outboxItem(request))) {
      synchronized (this) {
        // If it is no longer in flight here, the close of this connection has already notified it,
        // and another connection may carry it.
        return !inFlight.remove(request.id(), request);
      }
    }
    if (request.isEnded()) {
      // It was given up during the hand-over, when this connection had nothing to remove yet.
      drop(request);
    }
    return true;
  }

  private Outbox.Item outboxItem(RunnerRequest request) {
    return new Outbox.Item() {
      @Override
      public byte[] take() {
        return request.startSending(LinkConnection.this);
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

  /** Removes a request that ended before any of its bytes were written. */
  void drop(RunnerRequest request) {
    synchronized (this) {
      inFlight.remove(request.id(), request);
    }
    closeIfDone();
  }

  /**
   * The halt of a request that was given up after it was sent. Reports the end of the request once, when the halt is
   * written or the connection is closed.
   */
  private final class PendingHalt implements Outbox.Item {
    private final byte[] halt;
    private final Runnable whenDone;

    private PendingHalt(byte[] halt, Runnable whenDone) {
      this.halt = halt;
      this.whenDone = whenDone;
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
      complete();
    }

    private void complete() {
      boolean first;
      synchronized (LinkConnection.this) {
        first = pendingHalts.remove(this);
      }
      if (first) {
        whenDone.run();
      }
      closeIfDone();
    }
  }

  /**
   * Gives up a request that was sent; an answer to it is ignored.
   *
   * @param halt the command that cancels the request; null for none
   * @param remainsUsable whether the connection may carry new requests
   * @param givenUp run once the halt is written or the connection is closed
   */
  void abandon(RunnerRequest request, byte[] halt, boolean remainsUsable, Runnable givenUp) {
    PendingHalt pending = halt == null ? null : new PendingHalt(halt, givenUp);
    boolean ended;
    synchronized (this) {
      ended = !inFlight.remove(request.id(), request) || closed;
      if (!ended) {
        abandoned.add(request.id());
        retired |= !remainsUsable || abandoned.size() > MAX_ABANDONED;
        if (pending != null) {
          pendingHalts.add(pending);
        }
      }
    }
    if (ended || pending == null) {
      givenUp.run();
    } else if (!outbox.put(pending)) {
      close(Ending.BROKEN, "the runner does not read");
    }
    closeIfDone();
  }

  /** Whether the connection accepts a request with this id; an id that was given up here is not used again. */
  synchronized boolean mayAccept(String id) {
    return !closed && !retired && !abandoned.contains(id) && !inFlight.containsKey(id);
  }

  /** Whether it is connected. */
  synchronized boolean isOpen() {
    return open && !closed;
  }

  /** Number of requests in flight. */
  synchronized int requestsInFlight() {
    return inFlight.size();
  }

  /** Whether anything is queued or being written. */
  boolean hasUnwritten() {
    return !outbox.idle();
  }

  /** How long no request was added and no answer came, in microseconds. */
  long idle(long now) {
    return now - lastUsedAt;
  }

  long heardAt() {
    return heardAt;
  }

  /** Memory held for unfinished answers. */
  int answerBytes() {
    return answerMemory.heldBytes();
  }

  /** The connection that holds most memory for unfinished answers; null if there are no connections. */
  static LinkConnection withMostAnswerBytes(Stream<LinkConnection> connections) {
    return connections
        .max((a, b) -> Integer.compare(a.answerBytes(), b.answerBytes()))
        .orElse(null);
  }

  /** Closes the connection if no request is in flight; returns whether it did. */
  boolean closeIfIdle() {
    synchronized (this) {
      if (closed || !Permits.mayCloseLink(inFlight.size()).allowed()) {
        return false;
      }
      retired = true;
    }
    close(Ending.BROKEN, "closed for room");
    return true;
  }

  /** Stops accepting requests and closes the connection once none is in flight. */
  void retire() {
    synchronized (this) {
      retired = true;
    }
    closeIfDone();
  }

  private void closeIfDone() {
    boolean done;
    synchronized (this) {
      done = retired
          && pendingHalts.isEmpty()
          && Permits.mayCloseLink(inFlight.size()).allowed()
          && !closed;
    }
    if (done) {
      close(Ending.BROKEN, "retired");
    }
  }

  /** Whether a write has lasted longer than that. */
  boolean isStuck(long now, long maxWriteMicros) {
    long since = outbox.writingSince();
    return since > 0 && now - since > maxWriteMicros;
  }

  /** Closes the connection if a write has lasted longer than that. */
  void closeIfStuck(long now, long maxWriteMicros) {
    if (isStuck(now, maxWriteMicros)) {
      close(Ending.BROKEN, "the runner does not read");
    }
  }

  void close(Ending ending, String why) {
    List<RunnerRequest> requests;
    List<PendingHalt> halts;
    boolean wasOpen;
    synchronized (this) {
      if (closed) {
        return;
      }
      closed = true;
      wasOpen = open;
      requests = new ArrayList<>(inFlight.values());
      inFlight.clear();
      halts = new ArrayList<>(pendingHalts);
    }
    outbox.close();
    answerMemory.end();
    try {
      channel.close();
    } catch (IOException e) {
      // Nothing is left to release.
    }
    Ending reported = AttemptOutcomes.endingOfConnection(ending, owner.closed(this, wasOpen, why));
    halts.forEach(PendingHalt::complete);
    requests.forEach(request -> request.connectionEnded(this, reported));
  }
}
