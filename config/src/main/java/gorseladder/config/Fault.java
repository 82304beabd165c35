package gorseladder.config;

/**
 * One fault of a settings file.
 *
 * @param file the file as it was named
 * @param line from 1; 0 where the fault is that something is missing from the whole file
 * @param field the field's path, for example {@code endpoint[1].secret[0]}
 * @param reason what is wrong, without secret content
 */
public record Fault(String file, int line, String field, String reason) {
  @Override
  public String toString() {
    return file + ":" + (line > 0 ? line + ":" : "") + " " + (field.isEmpty() ? "" : field + ": ")
        + reason;
  }
}
