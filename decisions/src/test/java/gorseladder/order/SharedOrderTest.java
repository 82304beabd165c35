package gorseladder.order;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The shared order does not depend on the history of the list, follows the weights, changes little and is cheap. */
class SharedOrderTest {
  private static final int FUNCTIONS = 4_000;

  private static final class Worker extends Member {
    Worker(String name) {
      super(name);
    }
  }

  private static String workerName(int number) {
    return "worker" + number;
  }

  private static long function(int number) {
    return SharedOrder.functionHash("function" + number);
  }

  private static List<Worker> workers(int count) {
    List<Worker> workers = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      workers.add(new Worker(workerName(i)));
    }
    return workers;
  }

  private static double weight(int number, double lightest, double heaviest) {
    double part = new Random(number * 31L + 7).nextDouble();
    return lightest * Math.pow(heaviest / lightest, part);
  }

  private static SharedOrder<Worker> order(List<Worker> workers, double lightest, double heaviest) {
    SharedOrder<Worker> order = new SharedOrder<>();
    for (Worker worker : workers) {
      int number = Integer.parseInt(worker.name().substring("worker".length()));
      order.put(worker, weight(number, lightest, heaviest));
    }
    return order;
  }

  private static SharedOrder<Worker> order(int count) {
    return order(workers(count), 1, 1);
  }

  private static List<String> first(SharedOrder<Worker> order, long function, int count) {
    return order.first(function, count).stream().map(Worker::name).toList();
  }

  /** Walking the rings yields the same order as sorting all keys. */
  @ParameterizedTest
  @CsvSource({"1, 1, 1", "2, 1, 1", "17, 0.1, 10", "300, 1, 1", "300, 0.1, 10", "2000, 0.1, 10"})
  void theFirstAreThoseWithTheLowestKeys(int count, double lightest, double heaviest) {
    SharedOrder<Worker> order = order(workers(count), lightest, heaviest);
    for (int f = 0; f < 20; f++) {
      String function = "function" + f;
      List<String> byKey = new ArrayList<>();
      for (int i = 0; i < count; i++) {
        byKey.add(workerName(i));
      }
      byKey.sort(Comparator.comparingDouble(name -> SharedOrder.key(
          function, name, weight(Integer.parseInt(name.substring(6)), lightest, heaviest))));
      for (int wanted : new int[] {1, 3, count / 5, count / 2, count, count + 1}) {
        assertEquals(
            byKey.subList(0, Math.min(wanted, count)),
            first(order, SharedOrder.functionHash(function), wanted));
      }
    }
  }

  @Test
  void anEmptyOrderHasNoFirst() {
    assertTrue(new SharedOrder<Worker>().first(function(1), 3).isEmpty());
  }

  /** Lists added in another sequence, with other workers added and removed in between, give the same order. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void theOrderDoesNotDependOnHowTheListCame(long seed) {
    SharedOrder<Worker> direct = order(workers(500), 0.1, 10);
    List<Worker> shuffled = workers(900);
    Collections.shuffle(shuffled, new Random(seed));
    SharedOrder<Worker> withRemovals = order(shuffled, 0.1, 10);
    shuffled.stream()
        .filter(worker -> Integer.parseInt(worker.name().substring(6)) >= 500)
        .forEach(withRemovals::remove);
    assertEquals(direct.size(), withRemovals.size());
    for (int f = 0; f < 200; f++) {
      assertEquals(first(direct, function(f), 12), first(withRemovals, function(f), 12));
    }
  }

  /** Names with equal 32-bit hash codes are still distinct in the order, and every dispatcher ranks them alike. */
  @Test
  void workersOfOneHashAreToldApart() {
    assertEquals("Aa".hashCode(), "BB".hashCode());
    SharedOrder<Worker> one = new SharedOrder<>();
    SharedOrder<Worker> other = new SharedOrder<>();
    List.of("Aa", "BB", "AaBB", "BBAa").forEach(name -> one.put(new Worker(name), 1));
    List.of("BBAa", "AaBB", "BB", "Aa").forEach(name -> other.put(new Worker(name), 1));
    Map<String, Integer> firsts = new HashMap<>();
    for (int f = 0; f < 400; f++) {
      assertEquals(first(one, function(f), 4), first(other, function(f), 4));
      firsts.merge(first(one, function(f), 1).get(0), 1, Integer::sum);
    }
    assertEquals(4, firsts.size(), "each is first for some: " + firsts);
  }

  /** A worker that joins is first for about the share of its weight; all others keep their relative order. */
  @ParameterizedTest
  @CsvSource({"1, 0.05", "4, 0.1"})
  void aWorkerThatJoinsMovesNothingElse(double weight, double tolerance) {
    SharedOrder<Worker> order = order(60);
    List<List<String>> before = new ArrayList<>();
    for (int f = 0; f < FUNCTIONS; f++) {
      before.add(first(order, function(f), 5));
    }
    order.put(new Worker("joins"), weight);
    int taken = 0;
    for (int f = 0; f < FUNCTIONS; f++) {
      List<String> after = new ArrayList<>(first(order, function(f), 6));
      taken += after.get(0).equals("joins") ? 1 : 0;
      after.remove("joins");
      assertEquals(before.get(f), after.subList(0, 5));
    }
    double share = weight / (60 + weight);
    assertEquals(share, taken / (double) FUNCTIONS, Math.max(tolerance * share, 0.35 * share));
  }

  /** Two lists that differ in d of W workers agree on the first k for all but about 2kd/W of the functions. */
  @ParameterizedTest
  @CsvSource({"2000, 20, 3", "2000, 100, 1", "2000, 20, 8"})
  void listsThatDifferALittleAgreeOnNearlyAllFunctions(int count, int differ, int wanted) {
    List<Worker> all = workers(count + differ);
    SharedOrder<Worker> one = order(all.subList(0, count), 1, 1);
    SharedOrder<Worker> other =
        order(workers(count + differ).subList(differ, count + differ), 1, 1);
    int agree = 0;
    for (int f = 0; f < FUNCTIONS; f++) {
      agree += first(one, function(f), wanted).equals(first(other, function(f), wanted)) ? 1 : 0;
    }
    double least = 1 - 2.0 * wanted * differ / count;
    assertTrue(
        agree >= FUNCTIONS * (least - 0.02),
        agree + " of " + FUNCTIONS + " agree, expected share " + least);
  }

  /** Over 100,000 functions each group of weights gets its share of first places within 5 % plus sampling noise. */
  @ParameterizedTest
  @CsvSource({"240, 1, 1", "2400, 0.1, 10", "24000, 0.1, 10"})
  void firstPlacesAreSharedByWeight(int count, double lightest, double heaviest) {
    int functions = 100_000;
    int classes = 8;
    List<Worker> workers = workers(count);
    SharedOrder<Worker> order = order(workers, lightest, heaviest);
    double[] weights = new double[classes];
    double[] firsts = new double[classes];
    double all = 0;
    for (int i = 0; i < count; i++) {
      double weight = weight(i, lightest, heaviest);
      weights[weightClass(weight, lightest, heaviest, classes, i)] += weight;
      all += weight;
    }
    for (int f = 0; f < functions; f++) {
      String name = order.first(function(f), 1).get(0).name();
      int number = Integer.parseInt(name.substring(6));
      firsts[
          weightClass(weight(number, lightest, heaviest), lightest, heaviest, classes, number)]++;
    }
    for (int c = 0; c < classes; c++) {
      double expected = weights[c] / all * functions;
      double noise = 3 * Math.sqrt(expected);
      assertEquals(expected, firsts[c], 0.05 * expected + noise, "class " + c);
    }
  }

  private static int weightClass(
      double weight, double lightest, double heaviest, int classes, int number) {
    return lightest == heaviest
        ? number % classes
        : (int) Math.min(
            classes - 1, classes * Math.log(weight / lightest) / Math.log(heaviest / lightest));
  }

  /** No worker gets hardly any first places because it lies closely behind another on the circle. */
  @Test
  void everyWorkerIsFirstForAFairShare() {
    int count = 240;
    int each = 400;
    SharedOrder<Worker> order = order(count);
    Map<String, Integer> firsts = new HashMap<>();
    for (int f = 0; f < count * each; f++) {
      firsts.merge(order.first(function(f), 1).get(0).name(), 1, Integer::sum);
    }
    assertEquals(count, firsts.size());
    firsts.forEach(
        (name, times) -> assertTrue(times > 0.6 * each && times < 1.4 * each, name + ": " + times));
  }

  @Test
  void everyWorkerOf180000CanBeReached() {
    SharedOrder<Worker> order = order(180_000);
    assertEquals(180_000, new HashSet<>(order.first(function(1), 180_000)).size());
  }

  /** The number of members examined grows with the number asked for, not with the fleet. */
  @Test
  void askingForTheFirstFewLooksAtAsManyInAnyFleet() {
    long small = examinedPerLookup(order(240), 8);
    long large = examinedPerLookup(order(24_000), 8);
    long huge = examinedPerLookup(order(180_000), 8);
    assertTrue(large <= 2 * small, "at 240: " + small + ", at 24,000: " + large);
    assertTrue(huge <= 2 * small, "at 240: " + small + ", at 180,000: " + huge);
  }

  private static long examinedPerLookup(SharedOrder<Worker> order, int count) {
    long before = order.examined();
    for (int f = 0; f < 100; f++) {
      order.first(function(f), count);
    }
    return (order.examined() - before) / 100;
  }

  @Test
  void weightsAreReplacedAndTheSameWeightChangesNothing() {
    SharedOrder<Worker> order = order(50);
    Worker worker = new Worker("again");
    assertTrue(order.put(worker, 1));
    assertFalse(order.put(worker, 1));
    int before = firstPlaces(order, "again");
    assertTrue(order.put(worker, 8));
    assertEquals(51, order.size());
    assertTrue(firstPlaces(order, "again") > 3 * before);
    assertTrue(order.remove(worker));
    assertFalse(order.remove(worker));
    assertEquals(0, firstPlaces(order, "again"));
    assertEquals(50, order.size());
  }

  private static int firstPlaces(SharedOrder<Worker> order, String name) {
    int places = 0;
    for (int f = 0; f < FUNCTIONS; f++) {
      places += order.first(function(f), 1).get(0).name().equals(name) ? 1 : 0;
    }
    return places;
  }

  /** A ring that is resized many times keeps its members and its order. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2})
  void aRingThatGrowsAndShrinksKeepsItsOrder(long seed) {
    Ring<Worker> ring = new Ring<>();
    Random random = new Random(seed);
    List<Worker> members = new ArrayList<>();
    for (int step = 0; step < 6_000; step++) {
      boolean grows = step < 3_000 ? random.nextInt(4) > 0 : random.nextInt(4) == 0;
      if (grows || members.isEmpty()) {
        Worker worker = new Worker(workerName(step));
        ring.add(worker);
        members.add(worker);
      } else {
        ring.remove(members.remove(random.nextInt(members.size())));
      }
    }
    List<Worker> walked = new ArrayList<>();
    ring.forEach(walked::add);
    members.sort(Comparator.comparingLong(worker -> worker.point));
    assertEquals(members, walked);
    assertEquals(members.size(), ring.size());
    assertNotEquals(0, members.size());
  }
}
