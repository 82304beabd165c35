package gorseladder.node.front;

import gorseladder.runtime.ArrivalTimes;
import gorseladder.runtime.Clock;
import gorseladder.runtime.UnreadBytes;
import gorseladder.wire.fastcgi.BadRecord;
import gorseladder.wire.fastcgi.RecordParser;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.function.IntConsumer;

/** Reads the records of one client connection; used by the thread of the connection. */
final class ConnectionReader {
  /**
   * Bytes of a read that waits for the client, fewer than any record has. The rest of a request therefore remains
   * visible as unread bytes to whoever wants to close the connection, until its thread is known to parse.
   */
  private static final int PEEK_BYTES = 1;

  private final SocketChannel channel;
  private final ArrivalTimes arrivals;
  private final ReadBuffers buffers;
  private final RecordParser parser = new RecordParser();
  /** Holds the first byte of a client that was waited for. */
  private final ByteBuffer firstByte = ByteBuffer.allocateDirect(PEEK_BYTES);

  /** Creates a reader of a channel from which nothing was read; it tells the arrival times of what it reads. */
  ConnectionReader(SocketChannel channel, ArrivalTimes arrivals, ReadBuffers buffers) {
    this.channel = channel;
    this.arrivals = arrivals;
    this.buffers = buffers;
  }

  /**
   * Waits until bytes can be read, without a turn. Bytes that are unread already stay in the socket.
   *
   * @return false if the client has closed the connection
   */
  boolean awaitBytes() throws IOException {
    firstByte.clear();
    int unread = UnreadBytes.count(channel);
    arrivals.beforeRead(unread, Clock.micros());
    if (unread > 0) {
      return true;
    }
    int count = channel.read(firstByte);
    if (count < 0) {
      return false;
    }
    arrivals.afterRead(count, Clock.micros());
    return true;
  }

  /**
   * Reads what has arrived, without waiting, and parses it; the turn may have come long after the bytes.
   *
   * @param onRead receives the number of bytes before they are parsed
   */
  void readAndParse(RecordParser.Sink sink, IntConsumer onRead) throws IOException, BadRecord {
    ReadBuffers.Buffer buffer = buffers.take();
    try {
      if (firstByte.position() > 0) {
        buffer.put(firstByte.get(0));
      }
      int count = UnreadBytes.on(channel) ? buffer.read(channel) : 0;
      arrivals.readMore(count, Clock.micros());
      onRead.accept(buffer.length());
      parser.feed(buffer.bytes(), 0, buffer.length(), sink);
    } finally {
      buffers.giveBack(buffer);
    }
  }
}
