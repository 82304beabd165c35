package gorseladder.edge.runners;

import gorseladder.runtime.MessageMemory;
import gorseladder.runtime.NoRoomException;
import gorseladder.wire.oip.Oip;

/** Takes the result out of a runner's answer. Any thread. */
final class AnswerReader {
  /** Bytes of memory that reading an answer takes for each of its bytes, beside the answer itself. */
  static final int MEMORY_PER_ANSWER_BYTE = 5;

  private AnswerReader() {}

  /**
   * The result; afterwards its bytes alone are taken.
   *
   * @param memory holds the answer, which the caller keeps no longer
   * @throws IllegalArgumentException where the answer is not an inference response
   */
  static byte[] result(byte[] answer, MessageMemory memory) throws NoRoomException {
    memory.take((long) MEMORY_PER_ANSWER_BYTE * answer.length);
    byte[] result = Oip.content(answer).data();
    memory.shrinkTo(result.length);
    return result;
  }
}
