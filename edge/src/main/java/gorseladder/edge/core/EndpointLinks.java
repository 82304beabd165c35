package gorseladder.edge.core;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Tells which endpoints take messages of the same sender, so that a message which is retried at another path, for
 * example because its endpoint was renamed, is recognised. Two endpoints are linked for a delivery if they share
 *
 * <ul>
 *   <li>a secret that made one of its signatures: its sender can post at both;
 *   <li>any secret, and have the same tenant: the secrets of a tenant that appear together belong to one sender, which
 *       may have changed its path and its secret at the same time.
 * </ul>
 *
 * <p>Immutable and thread safe. Secrets are told apart by their fingerprints.
 */
public final class EndpointLinks {
  /**
   * An endpoint of the settings, present or past.
   *
   * @param secrets fingerprints
   */
  public record KnownEndpoint(String path, String tenant, Set<String> secrets) {}

  private record Link(String path, Set<String> sharedSecrets, boolean sameTenant) {}

  private final Map<String, List<Link>> links = new HashMap<>();

  /**
   * Creates the links.
   *
   * @param present the endpoints of the settings
   * @param past endpoints of earlier settings whose messages may still be remembered
   */
  public EndpointLinks(Collection<KnownEndpoint> present, Collection<KnownEndpoint> past) {
    List<KnownEndpoint> all = new ArrayList<>(present);
    all.addAll(past);
    for (KnownEndpoint endpoint : present) {
      links.put(endpoint.path(), linksOf(endpoint, all));
    }
  }

  private static List<Link> linksOf(KnownEndpoint endpoint, List<KnownEndpoint> all) {
    List<Link> found = new ArrayList<>();
    for (KnownEndpoint other : all) {
      Set<String> shared = new java.util.HashSet<>(other.secrets());
      shared.retainAll(endpoint.secrets());
      if (!other.path().equals(endpoint.path()) && !shared.isEmpty()) {
        found.add(new Link(other.path(), shared, other.tenant().equals(endpoint.tenant())));
      }
    }
    return List.copyOf(found);
  }

  /** Returns the identities that a message may have before its delivery is verified, that of the own path first. */
  public List<MessageId> candidates(String path, String senderId) {
    return messages(path, senderId, links.getOrDefault(path, List.of()));
  }

  /**
   * Returns the identities that a message may have, that of the own path first.
   *
   * @param verified fingerprints of the secrets that made a signature of its delivery
   */
  public List<MessageId> candidates(String path, String senderId, Collection<String> verified) {
    List<Link> linked = new ArrayList<>();
    for (Link link : links.getOrDefault(path, List.of())) {
      if (link.sameTenant() || !Collections.disjoint(link.sharedSecrets(), verified)) {
        linked.add(link);
      }
    }
    return messages(path, senderId, linked);
  }

  private static List<MessageId> messages(String path, String senderId, List<Link> linked) {
    MessageId own = new MessageId(path, senderId);
    if (linked.isEmpty()) {
      return List.of(own);
    }
    List<MessageId> messages = new ArrayList<>(linked.size() + 1);
    messages.add(own);
    linked.stream()
        .map(link -> new MessageId(link.path(), senderId))
        .distinct()
        .forEach(messages::add);
    return messages;
  }
}
