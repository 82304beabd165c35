package gorseladder.order;

/** A worker as the shared order sees it: a name and a weight. Not thread safe. */
public abstract class Member {
  private final String name;
  /** Where the name falls on the circle, from 0 to {@link Long#MAX_VALUE}. */
  final long point;
  /** Above 0; read only while the member is in an order, which sets it. */
  double weight = 1;
  /** The ring that holds the member; null where it is in no order. */
  Ring<?> ring;

  /** A member in no order yet. */
  protected Member(String name) {
    this.name = name;
    this.point = Hashes.circle(Hashes.name(name));
  }

  /** The name; equal names are the same member to every order. */
  public final String name() {
    return name;
  }

  /** True while the member is in an order. */
  public final boolean isOrdered() {
    return ring != null;
  }

  /** Members are the same only where they are the same object; tables of them are in use on every call. */
  @Override
  public final int hashCode() {
    return (int) point;
  }

  @Override
  public final boolean equals(Object other) {
    return this == other;
  }
}
