package gorseladder.edge.runners;

import gorseladder.runtime.MessageMemory;
import gorseladder.runtime.NoRoomException;
import gorseladder.wire.oip.Oip;

/** Extracts the result from a runner's answer. Thread safe. */
final class AnswerReader {
  /** Bytes of memory that parsing takes for each byte of an answer, in addition to the answer itself. */
  static final int MEMORY_PER_ANSWER_BYTE = 5;

  private AnswerReader() {}

  /**
   * Returns the result; afterwards {@code memory} accounts for the result alone.
   *
   * @param memory accounts for the answer, which the caller no longer keeps
   * @throws IllegalArgumentException if the answer is not an inference response
   */
  static byte[] result(byte[] answer, MessageMemory memory) throws NoRoomException {
    memory.take((long) MEMORY_PER_ANSWER_BYTE * answer.length);
    byte[] result = Oip.content(answer).data();
    memory.shrinkTo(result.length);
    return result;
  }
}
