package gorseladder.wire.http1;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** The start line and header section of a message. Unchanged after parsing, and then safe to read from any thread. */
public final class Head {
  /** One header field. The name is in lower case; the value has no surrounding white space. */
  public record Field(String name, String value) {}

  private final List<Field> fields = new ArrayList<>();
  String method = "";
  String target = "";
  int status;
  int minorVersion = 1;

  Head() {}

  void add(String name, String value) {
    fields.add(new Field(name.toLowerCase(Locale.ROOT), value));
  }

  /** Returns the request method; empty in a response. */
  public String method() {
    return method;
  }

  /** Returns the request target as sent; empty in a response. */
  public String target() {
    return target;
  }

  /** Returns the path of the target, without its query. */
  public String path() {
    int query = target.indexOf('?');
    return query < 0 ? target : target.substring(0, query);
  }

  /** Returns the query of the target, empty if there is none. */
  public String query() {
    int query = target.indexOf('?');
    return query < 0 ? "" : target.substring(query + 1);
  }

  /** Returns the status code, 100 to 599; 0 in a request. */
  public int status() {
    return status;
  }

  /** Returns 0 for HTTP/1.0, 1 for HTTP/1.1. */
  public int minorVersion() {
    return minorVersion;
  }

  /** Returns all fields in the order received. */
  public List<Field> fields() {
    return List.copyOf(fields);
  }

  /** Returns the value of the first field of a name (in lower case), or null. */
  public String get(String name) {
    for (Field f : fields) {
      if (f.name().equals(name)) {
        return f.value();
      }
    }
    return null;
  }

  /** Returns all values of a name (in lower case) in the order received. */
  public List<String> all(String name) {
    return fields.stream().filter(f -> f.name().equals(name)).map(Field::value).toList();
  }

  /** Returns true if a comma-separated field contains the token, ignoring case (RFC 9110 section 5.6.1). */
  public boolean hasToken(String name, String token) {
    for (String value : all(name)) {
      for (String part : value.split(",")) {
        if (part.strip().equalsIgnoreCase(token)) {
          return true;
        }
      }
    }
    return false;
  }

  /** Returns true if the connection persists after this message (RFC 9112 section 9.3). */
  public boolean keepsConnection() {
    return !hasToken("connection", "close")
        && (minorVersion >= 1 || hasToken("connection", "keep-alive"));
  }
}
