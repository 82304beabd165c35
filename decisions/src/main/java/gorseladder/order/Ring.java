package gorseladder.order;

import java.util.Arrays;
import java.util.function.Consumer;

/**
 * Members sorted by their points on the circle, and by name where points are equal. They are kept in small buckets, so
 * that finding, adding or removing a member touches only about one bucket, whatever the size. Not thread safe.
 */
final class Ring<M extends Member> {
  private static final int CIRCLE_BITS = Long.SIZE - 1;
  /** Mean number of members per bucket at which the number of buckets is doubled. */
  private static final int MAX_MEMBERS_PER_BUCKET = 4;

  /** Number of buckets per member beyond which the number of buckets is halved. */
  private static final int MAX_BUCKETS_PER_MEMBER = 4;

  private static final Member[] EMPTY_BUCKET = {};

  private Member[][] buckets = {EMPTY_BUCKET};
  private int bucketBits;
  private int size;

  int size() {
    return size;
  }

  private int bucketIndex(long point) {
    return (int) (point >>> CIRCLE_BITS - bucketBits);
  }

  private static boolean precedes(Member one, Member other) {
    return one.point != other.point
        ? one.point < other.point
        : one.name().compareTo(other.name()) < 0;
  }

  void add(M member) {
    if (size >= buckets.length * MAX_MEMBERS_PER_BUCKET) {
      resize(bucketBits + 1);
    }
    insert(member);
    size++;
  }

  private void insert(Member member) {
    int index = bucketIndex(member.point);
    Member[] old = buckets[index];
    Member[] bucket = Arrays.copyOf(old, old.length + 1);
    int position = old.length;
    while (position > 0 && precedes(member, old[position - 1])) {
      bucket[position] = old[position - 1];
      position--;
    }
    bucket[position] = member;
    buckets[index] = bucket;
  }

  void remove(M member) {
    int index = bucketIndex(member.point);
    Member[] old = buckets[index];
    Member[] bucket = new Member[old.length - 1];
    int kept = 0;
    for (Member other : old) {
      if (other != member) {
        bucket[kept++] = other;
      }
    }
    buckets[index] = bucket.length == 0 ? EMPTY_BUCKET : bucket;
    size--;
    if (bucketBits > 0 && size * MAX_BUCKETS_PER_MEMBER < buckets.length) {
      resize(bucketBits - 1);
    }
  }

  private void resize(int bits) {
    Member[][] old = buckets;
    bucketBits = bits;
    buckets = new Member[1 << bits][];
    Arrays.fill(buckets, EMPTY_BUCKET);
    for (Member[] bucket : old) {
      for (Member member : bucket) {
        insert(member);
      }
    }
  }

  /** Passes every member to {@code sink}, in ascending order of points. */
  @SuppressWarnings("unchecked")
  void forEach(Consumer<M> sink) {
    for (Member[] bucket : buckets) {
      for (Member member : bucket) {
        sink.accept((M) member);
      }
    }
  }

  /** Visits each member once, clockwise from a point. The ring must not change meanwhile. */
  final class Cursor {
    private final long from;
    private int bucket;
    private int index;
    private int remaining = size;
    private M member;

    Cursor(long from) {
      this.from = from;
      bucket = bucketIndex(from);
      while (index < buckets[bucket].length && buckets[bucket][index].point < from) {
        index++;
      }
      next();
    }

    /** Moves to the next member; returns false once all have been visited. */
    @SuppressWarnings("unchecked")
    boolean next() {
      member = null;
      if (remaining == 0) {
        return false;
      }
      while (index >= buckets[bucket].length) {
        bucket = bucket + 1 & buckets.length - 1;
        index = 0;
      }
      member = (M) buckets[bucket][index++];
      remaining--;
      return true;
    }

    /** The current member; null once all have been visited. */
    M member() {
      return member;
    }

    /** Clockwise distance from the start to the current member. */
    long distance() {
      return Hashes.circlePoint(member.point - from);
    }
  }
}
