package gorseladder.node;

import gorseladder.runtime.InMemoryChannel;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Takes the place of all runners in a warm-up and answers each call by the kind of its number; the second attempt of a
 * call is served. Thread safe.
 */
final class WarmUpRunner implements InMemoryChannel.Peer {
  private static final String CRLF = "\r\n";
  private static final String LOADED_REPLY = " ok pods=1 0" + CRLF + CRLF;

  private final Set<String> attemptedIds = ConcurrentHashMap.newKeySet();

  @Override
  public void received(InMemoryChannel channel, byte[] bytes) {
    String text = new String(bytes, StandardCharsets.ISO_8859_1);
    int from = 0;
    while (from < text.length()) {
      int end = text.indexOf(CRLF, from);
      String[] words = text.substring(from, end).split(" ");
      from = end + CRLF.length();
      if (words[0].equals("go")) {
        from += Integer.parseInt(words[3]) + CRLF.length();
        String answer = answer(words[1]);
        channel.deliver(answer.getBytes(StandardCharsets.ISO_8859_1));
      } else if (words[0].equals("stage")) {
        channel.deliver((words[1] + LOADED_REPLY).getBytes(StandardCharsets.ISO_8859_1));
      }
    }
  }

  private String answer(String id) {
    WarmUpCall.Kind kind = WarmUpCall.kind(Long.parseLong(id, 16));
    if (!attemptedIds.add(id)) {
      kind = WarmUpCall.Kind.SERVED;
    }
    return switch (kind) {
      case REFUSED -> id + " refused depth=3 0" + CRLF + CRLF;
      case MISSED -> id + " nothing - 0" + CRLF + CRLF;
      case LOAD_FAILED -> id + " nothing remark=crashed 0" + CRLF + CRLF;
      case FAILED -> id + " error - 0" + CRLF + CRLF;
      case STALE -> id + " stale - 0" + CRLF + CRLF;
      case UNANSWERED, ABORTED -> "";
      case LOADED -> id + " ok remark=fresh 1" + CRLF + "x" + CRLF;
      default -> id + " ok remark=up,depth=1 1" + CRLF + "x" + CRLF;
    };
  }
}
