package gorseladder.wire.http1;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** The start line and header section of a message. Not changed after parsing; any thread may read it then. */
public final class Head {
  /** One header field; the name is in lower case, the value without surrounding white space. */
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

  /** The request method; empty in a response. */
  public String method() {
    return method;
  }

  /** The request target as sent; empty in a response. */
  public String target() {
    return target;
  }

  /** The path of the target, without its query. */
  public String path() {
    int query = target.indexOf('?');
    return query < 0 ? target : target.substring(0, query);
  }

  /** The query of the target, empty where there is none. */
  public String query() {
    int query = target.indexOf('?');
    return query < 0 ? "" : target.substring(query + 1);
  }

  /** The status code, 100 to 599; 0 in a request. */
  public int status() {
    return status;
  }

  /** 0 for HTTP/1.0, 1 for HTTP/1.1. */
  public int minorVersion() {
    return minorVersion;
  }

  /** All fields in their order. */
  public List<Field> fields() {
    return List.copyOf(fields);
  }

  /** The value of the first field of this name (lower case), or null. */
  public String get(String name) {
    for (Field f : fields) {
      if (f.name().equals(name)) {
        return f.value();
      }
    }
    return null;
  }

  /** All values of this name (lower case), in their order. */
  public List<String> all(String name) {
    return fields.stream().filter(f -> f.name().equals(name)).map(Field::value).toList();
  }

  /** True where a comma-separated field holds the token, ignoring case (RFC 9110 section 5.6.1). */
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

  /** True where the connection may carry a further message after this one (RFC 9112 section 9.3). */
  public boolean keepsConnection() {
    return !hasToken("connection", "close")
        && (minorVersion >= 1 || hasToken("connection", "keep-alive"));
  }
}
