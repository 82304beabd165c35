package gorseladder.order;

/** A worker in a shared order, with its name and weight. Not thread safe. */
public abstract class Member {
  private final String name;
  /** Position on the circle, from 0 to {@link Long#MAX_VALUE}; derived from the name. */
  final long point;
  /** Above 0; set by the order and valid only while the member is in one. */
  double weight = 1;
  /** The ring that holds the member; null while it is in no order. */
  Ring<?> ring;

  /** Creates a member that is in no order yet. */
  protected Member(String name) {
    this.name = name;
    this.point = Hashes.circlePoint(Hashes.ofName(name));
  }

  /** The name, from which every order derives the position of the member. */
  public final String name() {
    return name;
  }

  /** Returns true while the member is in an order. */
  public final boolean isOrdered() {
    return ring != null;
  }

  /** Members are compared by identity, since hash tables of them are used on every call. */
  @Override
  public final int hashCode() {
    return (int) point;
  }

  @Override
  public final boolean equals(Object other) {
    return this == other;
  }
}
