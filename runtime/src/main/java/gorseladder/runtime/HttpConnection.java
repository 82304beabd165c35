package gorseladder.runtime;

import gorseladder.wire.http1.BadMessage;
import gorseladder.wire.http1.BodyParser;
import gorseladder.wire.http1.Head;
import gorseladder.wire.http1.HeadParser;
import gorseladder.wire.http1.HttpLimits;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.Arrays;

/**
 * An HTTP/1.1 connection of a client or a server, with blocking reads and writes. It moves bytes between the socket and
 * the parsers. Used by one thread at a time; {@link #close()} and {@link #abort()} are thread safe and end a blocked
 * read or write with an {@link IOException}.
 */
public final class HttpConnection implements Closeable {
  /** Size of the read buffer of a connection in use. */
  public static final int BUFFER_BYTES = 8192;

  /**
   * Bytes of a read that waits for the peer, fewer than any message has. The rest of a message remains visible as
   * unread bytes until the connection no longer counts as waiting.
   */
  private static final int PEEK_BYTES = 1;

  /**
   * Maximum bytes of one write; the JDK keeps a buffer for each thread outside the heap, as long as its longest write.
   */
  private static final int MAX_WRITE_BYTES = 16_384;

  private final SocketChannel channel;
  private final Socket socket;
  private final HttpLimits limits;
  private byte[] buffer = new byte[1024];
  private int from;
  private int to;
  private boolean ended;
  private volatile boolean waitingForBytes;
  private long readBytes;
  private ArrivalTimes arrivals = new ArrivalTimes(now -> now, Clock.micros());
  /** The earliest time at which the first byte of the buffer may have arrived. */
  private long earliestArrival;

  /** Memory of the message that is being read. */
  private MessageMemory memory = MessageMemory.unbounded();

  private Runnable beforeWait = () -> {};
  private Runnable afterWait = () -> {};

  /** Wraps a connected blocking channel. */
  public HttpConnection(SocketChannel channel, HttpLimits limits) throws IOException {
    this.channel = channel;
    this.socket = channel.socket();
    this.limits = limits;
    channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
  }

  /** Opens a connection within the given time. */
  public static HttpConnection open(InetSocketAddress to, long connectMillis, HttpLimits limits)
      throws IOException {
    SocketChannel channel = SocketChannel.open();
    try {
      channel.socket().connect(to, (int) Math.max(1, Math.min(connectMillis, Integer.MAX_VALUE)));
      return new HttpConnection(channel, limits);
    } catch (IOException | RuntimeException e) {
      channel.close();
      throw e;
    }
  }

  /** The address of the peer. */
  public InetSocketAddress peer() {
    return (InetSocketAddress) socket.getRemoteSocketAddress();
  }

  /** Sets actions that the reading thread runs before and after each wait for bytes. */
  public void aroundWaits(Runnable before, Runnable after) {
    beforeWait = before;
    afterWait = after;
  }

  /** Sets the memory for messages that are read from now on; it is unlimited by default. */
  public void takeMemoryFrom(MessageMemory message) {
    memory = message;
  }

  /** Sets the estimate of arrival times; to be called before the first read. */
  public void arrivals(ArrivalTimes times) {
    arrivals = times;
  }

  /** The earliest time at which the first unparsed byte may have arrived; {@link Clock#micros()}. */
  public long earliestArrival() {
    return earliestArrival;
  }

  /** Bytes read from the socket so far. */
  public long readBytes() {
    return readBytes;
  }

  /**
   * Waits for the first byte of a message.
   *
   * @param until end of the wait, in {@link Clock#micros()}
   * @return false if the connection ended instead
   * @throws SocketTimeoutException if no byte arrived by then
   */
  public boolean awaitMessage(long until) throws IOException {
    return from < to || fill(until);
  }

  /** Reads the header section of a request. */
  public Head readRequest(long until) throws IOException, BadMessage {
    return readHead(HeadParser.forRequest(limits), until);
  }

  /** Reads the header section of a response, skipping interim ones (1xx). */
  public Head readResponse(long until) throws IOException, BadMessage {
    Head head = readHead(HeadParser.forResponse(limits), until);
    while (head.status() < 200) {
      head = readHead(HeadParser.forResponse(limits), until);
    }
    return head;
  }

  private Head readHead(HeadParser parser, long until) throws IOException, BadMessage {
    memory.onDiscard(parser::discard);
    while (!parser.done()) {
      if (from == to && !fill(until)) {
        throw new EOFException("the connection ended inside a header section");
      }
      feed(parser);
    }
    memory.onDiscard(() -> {});
    return parser.head();
  }

  private void feed(HeadParser parser) throws NoRoomException, BadMessage {
    int before = parser.memoryBytes();
    int reserved = parser.maxGrowth(to - from);
    memory.take(reserved);
    synchronized (memory) {
      memory.requireNotEnded();
      from += parser.feed(buffer, from, to - from);
      memory.giveBack(reserved - (parser.memoryBytes() - before));
    }
  }

  /** Reads the content that the parser expects. */
  public byte[] readBody(BodyParser parser, long until) throws IOException, BadMessage {
    memory.onDiscard(parser::discard);
    while (!parser.done()) {
      if (from == to && !fill(until)) {
        if (parser.endOfInput()) {
          break;
        }
        throw new EOFException("the connection ended inside the content");
      }
      feed(parser);
    }
    return content(parser);
  }

  /** While the content buffer grows, the old and the new buffer are both counted. */
  private void feed(BodyParser parser) throws NoRoomException, BadMessage {
    int before = parser.bufferBytes();
    int after = parser.bufferBytesAfter(to - from);
    boolean grows = after > before;
    if (grows) {
      memory.take(after);
    }
    synchronized (memory) {
      memory.requireNotEnded();
      from += parser.feed(buffer, from, to - from);
      if (grows) {
        memory.giveBack(before);
      }
    }
  }

  private byte[] content(BodyParser parser) throws NoRoomException {
    if (!parser.contentFillsBuffer()) {
      memory.take(parser.size());
      memory.giveBack(parser.bufferBytes());
    }
    synchronized (memory) {
      memory.requireNotEnded();
      memory.onDiscard(() -> {});
      return parser.content();
    }
  }

  private boolean fill(long until) throws IOException {
    if (ended) {
      return false;
    }
    long left = (until - Clock.micros()) / 1000;
    if (left <= 0) {
      throw new SocketTimeoutException("the read timed out");
    }
    socket.setSoTimeout((int) Math.min(left, Integer.MAX_VALUE));
    if (readBytes > 0 && buffer.length < BUFFER_BYTES) {
      buffer = new byte[BUFFER_BYTES];
    }
    beforeWait.run();
    int count;
    try {
      count = awaitBytes();
    } finally {
      afterWait.run();
    }
    from = 0;
    to = Math.max(0, count);
    ended = count < 0;
    if (count == 0 || count > 0 && hasBytesToRead()) {
      readUnread();
    }
    earliestArrival = arrivals.earliestArrival();
    readBytes += to;
    return to > 0;
  }

  /**
   * Waits for the peer, unless bytes are unread; these stay in the socket but for the first one.
   *
   * @return the number of bytes read into the buffer; -1 if the connection has ended
   */
  private int awaitBytes() throws IOException {
    int unread = UnreadBytes.count(channel);
    arrivals.beforeRead(unread, Clock.micros());
    if (unread > 0) {
      return 0;
    }
    waitingForBytes = true;
    try {
      int count = socket.getInputStream().read(buffer, 0, PEEK_BYTES);
      arrivals.afterRead(Math.max(0, count), Clock.micros());
      return count;
    } finally {
      waitingForBytes = false;
    }
  }

  /** Reads what has arrived behind the bytes of the buffer; does not wait, since bytes are unread. */
  private void readUnread() throws IOException {
    int count = socket.getInputStream().read(buffer, to, buffer.length - to);
    arrivals.readMore(count, Clock.micros());
    to += Math.max(0, count);
    ended = count < 0;
  }

  /** Whether the peer closed or reset the connection, also behind unread bytes; thread safe, does not block. */
  public boolean isClosedByPeer() {
    return PeerPresence.of(channel) == PeerPresence.State.CLOSED;
  }

  /**
   * Checks, without blocking, whether the peer closed or reset the connection. Bytes that arrived are kept for the next
   * read.
   */
  public boolean peerGone() {
    if (ended || isClosedByPeer()) {
      return true;
    }
    boolean keepsBytes = from < to;
    if (keepsBytes && !makeRoom()) {
      return false;
    }
    int used = keepsBytes ? to : 0;
    try {
      channel.configureBlocking(false);
      try {
        arrivals.beforeRead(UnreadBytes.count(channel), Clock.micros());
        int count = channel.read(ByteBuffer.wrap(buffer, used, buffer.length - used));
        arrivals.afterRead(Math.max(0, count), Clock.micros());
        earliestArrival = keepsBytes ? earliestArrival : arrivals.earliestArrival();
        from = 0;
        to = used + Math.max(0, count);
        readBytes += Math.max(0, count);
        ended = count < 0;
      } finally {
        channel.configureBlocking(true);
      }
    } catch (IOException e) {
      ended = true;
    }
    return ended;
  }

  /** Moves unused bytes to the beginning of the buffer; returns false if they fill it. */
  private boolean makeRoom() {
    if (from == 0 && to == buffer.length && buffer.length < BUFFER_BYTES) {
      buffer = Arrays.copyOf(buffer, BUFFER_BYTES);
    }
    System.arraycopy(buffer, from, buffer, 0, to - from);
    to -= from;
    from = 0;
    return to < buffer.length;
  }

  /** Whether the buffer holds bytes beyond the last message. */
  public boolean hasBufferedBytes() {
    return from < to;
  }

  /**
   * Whether nothing of the peer is unread or being processed; thread safe. Unread bytes are looked at first: a thread
   * that takes them from the socket no longer counts as waiting by then.
   */
  public boolean isIdle() {
    return !hasBytesToRead() && waitingForBytes;
  }

  /** Whether its thread waits for bytes of the peer; thread safe. */
  public boolean isWaitingForBytes() {
    return waitingForBytes;
  }

  /** Whether the socket holds unread bytes; thread safe. */
  public boolean hasBytesToRead() {
    return UnreadBytes.on(channel);
  }

  /** Writes all of the bytes. */
  public void write(byte[] bytes) throws IOException {
    writeFrom(bytes, 0);
  }

  /** Writes the bytes from the given index on. */
  public void writeFrom(byte[] bytes, int first) throws IOException {
    for (int next = first; next < bytes.length; next += MAX_WRITE_BYTES) {
      socket.getOutputStream().write(bytes, next, Math.min(MAX_WRITE_BYTES, bytes.length - next));
    }
  }

  /** Writes the first bytes, as many as possible without blocking; returns how many. */
  public int writeAtOnce(byte[] bytes) throws IOException {
    channel.configureBlocking(false);
    try {
      return channel.write(ByteBuffer.wrap(bytes, 0, Math.min(MAX_WRITE_BYTES, bytes.length)));
    } finally {
      channel.configureBlocking(true);
    }
  }

  /**
   * Shuts down the output and discards what the peer still sends until the given time, so that the peer can read the
   * last message before the connection is closed.
   */
  public void closeGracefully(long until) {
    try {
      channel.shutdownOutput();
      while (fill(until)) {
        from = to;
      }
    } catch (IOException e) {
      // The peer is gone or too slow; the connection is closed anyway.
    }
    close();
  }

  /** Closes with a reset, so that the peer learns at once that its result is not wanted. */
  public void abort() {
    try {
      channel.setOption(StandardSocketOptions.SO_LINGER, 0);
    } catch (IOException e) {
      // Closed already.
    }
    close();
  }

  @Override
  public void close() {
    try {
      channel.close();
    } catch (IOException e) {
      // Nothing is left to release.
    }
  }
}
