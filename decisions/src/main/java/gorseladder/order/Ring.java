package gorseladder.order;

import java.util.Arrays;
import java.util.function.Consumer;

/**
 * Members by their places on the circle, in buckets of a few, so that finding, adding and removing one touches about as
 * many as a bucket holds, whatever the size. Members at one place stand by their names. Not thread safe.
 */
final class Ring<M extends Member> {
  private static final int CIRCLE_BITS = Long.SIZE - 1;
  /** Mean members of a bucket beyond which the buckets are doubled. */
  private static final int MOST_PER_BUCKET = 4;

  /** Buckets for each member beyond which they are halved. */
  private static final int BUCKETS_PER_MEMBER_AT_MOST = 4;

  private static final Member[] NONE = {};

  private Member[][] buckets = {NONE};
  private int bucketBits;
  private int size;

  int size() {
    return size;
  }

  private int bucketOf(long point) {
    return (int) (point >>> CIRCLE_BITS - bucketBits);
  }

  private static boolean before(Member one, Member other) {
    return one.point != other.point
        ? one.point < other.point
        : one.name().compareTo(other.name()) < 0;
  }

  void add(M member) {
    if (size >= buckets.length * MOST_PER_BUCKET) {
      divide(bucketBits + 1);
    }
    insert(member);
    size++;
  }

  private void insert(Member member) {
    int number = bucketOf(member.point);
    Member[] old = buckets[number];
    Member[] bucket = Arrays.copyOf(old, old.length + 1);
    int at = old.length;
    while (at > 0 && before(member, old[at - 1])) {
      bucket[at] = old[at - 1];
      at--;
    }
    bucket[at] = member;
    buckets[number] = bucket;
  }

  void remove(M member) {
    int number = bucketOf(member.point);
    Member[] old = buckets[number];
    Member[] bucket = new Member[old.length - 1];
    int kept = 0;
    for (Member other : old) {
      if (other != member) {
        bucket[kept++] = other;
      }
    }
    buckets[number] = bucket.length == 0 ? NONE : bucket;
    size--;
    if (bucketBits > 0 && size * BUCKETS_PER_MEMBER_AT_MOST < buckets.length) {
      divide(bucketBits - 1);
    }
  }

  private void divide(int bits) {
    Member[][] old = buckets;
    bucketBits = bits;
    buckets = new Member[1 << bits][];
    Arrays.fill(buckets, NONE);
    for (Member[] bucket : old) {
      for (Member member : bucket) {
        insert(member);
      }
    }
  }

  /** Every member, in the order of the circle. */
  @SuppressWarnings("unchecked")
  void forEach(Consumer<M> sink) {
    for (Member[] bucket : buckets) {
      for (Member member : bucket) {
        sink.accept((M) member);
      }
    }
  }

  /** Walks the members once, clockwise from a place. The ring may not change meanwhile. */
  final class Cursor {
    private final long from;
    private int bucket;
    private int index;
    private int left = size;
    private M member;

    Cursor(long from) {
      this.from = from;
      bucket = bucketOf(from);
      while (index < buckets[bucket].length && buckets[bucket][index].point < from) {
        index++;
      }
      next();
    }

    /** Moves on by one; false where all have been seen. */
    @SuppressWarnings("unchecked")
    boolean next() {
      member = null;
      if (left == 0) {
        return false;
      }
      while (index >= buckets[bucket].length) {
        bucket = bucket + 1 & buckets.length - 1;
        index = 0;
      }
      member = (M) buckets[bucket][index++];
      left--;
      return true;
    }

    /** The member reached; null where all have been seen. */
    M member() {
      return member;
    }

    /** How far the member reached is from the start, clockwise. */
    long distance() {
      return Hashes.circle(member.point - from);
    }
  }
}
