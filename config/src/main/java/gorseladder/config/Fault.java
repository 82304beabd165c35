package gorseladder.config;

/**
 * One fault in a settings file.
 *
 * @param file the name of the file as given
 * @param line from 1; 0 if something is missing from the file as a whole
 * @param field path of the field, for example {@code endpoint[1].secret[0]}
 * @param reason what is wrong, without the content of secrets
 */
public record Fault(String file, int line, String field, String reason) {
  @Override
  public String toString() {
    return file + ":" + (line > 0 ? line + ":" : "") + " " + (field.isEmpty() ? "" : field + ": ")
        + reason;
  }
}
