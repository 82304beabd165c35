package gorseladder.edge.core;

import gorseladder.admission.Admission;
import gorseladder.admission.Admission.Arrival;
import gorseladder.runtime.Clock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Where calls ask {@link Admission} whether they may enter, before their signature and the ledger cost anything. Any
 * thread. Refusals are counted and told in one line a few seconds apart: a line each would cost more than the refusals.
 */
public final class AdmissionCheck {
  private static final Logger LOG = LoggerFactory.getLogger(AdmissionCheck.class);
  private static final long WARNING_INTERVAL_MICROS = 5_000_000;

  /** Null where no call is ever refused here. */
  private final Admission admission;

  private long lastId;
  private long lastWarningAt;
  private long refusalsAtLastWarning;

  /** A check that asks; null for one that admits every call. */
  public AdmissionCheck(Admission admission) {
    this.admission = admission;
    this.lastWarningAt = Clock.micros() - WARNING_INTERVAL_MICROS;
  }

  /** A call inside, until it is sent for the first time or has ended. */
  public final class Pass {
    private final long id;
    private final String tenant;
    private final long waited;
    private final boolean known;
    private boolean open = true;

    private Pass(long id, String tenant, long waited, boolean known) {
      this.id = id;
      this.tenant = tenant;
      this.waited = waited;
      this.known = known;
    }

    /** Asks again now that the class is known; false where the call is refused after all and is not inside any more. */
    public boolean mayStay(long message, double worth, long latencyTarget) {
      if (admission == null || known) {
        return true;
      }
      synchronized (AdmissionCheck.this) {
        boolean allowed = mayEnter(new Arrival(message, tenant, worth, latencyTarget, waited));
        if (!allowed) {
          end(false);
        }
        return allowed;
      }
    }

    /** The call left for a runner. */
    void sent() {
      end(true);
    }

    /** The call ended, or was no call. */
    public void ended() {
      end(false);
    }

    private void end(boolean sent) {
      synchronized (AdmissionCheck.this) {
        if (open && admission != null) {
          if (sent) {
            admission.sent(id, Clock.micros());
          } else {
            admission.endedUnsent(id);
          }
        }
        open = false;
      }
    }
  }

  /**
   * Lets a call in or refuses it.
   *
   * @param waited microseconds that it waited to be read
   * @param remembered true where something is remembered of the message: such a call is never refused here, since an
   *     earlier delivery of it may have run
   * @param longestAim the longest aim of the classes it may be of, in microseconds
   * @return null where it is refused
   */
  public synchronized Pass enter(
      long message, String tenant, long maxLatencyTarget, long waited, boolean known) {
    Pass pass = new Pass(++lastId, tenant, waited, known);
    if (admission == null) {
      return pass;
    }
    if (!known && !mayEnter(new Arrival(message, tenant, 1, maxLatencyTarget, waited))) {
      return null;
    }
    admission.entered(pass.id, tenant, Clock.micros() - waited);
    return pass;
  }

  private boolean mayEnter(Arrival arrival) {
    long now = Clock.micros();
    boolean allowed = admission.mayEnter(arrival, now);
    if (!allowed && now >= lastWarningAt + WARNING_INTERVAL_MICROS) {
      LOG.warn(
          "overloaded: {} calls refused since the last such line, {} wait to be sent",
          admission.refusals() - refusalsAtLastWarning,
          admission.waiting());
      lastWarningAt = now;
      refusalsAtLastWarning = admission.refusals();
    }
    return allowed;
  }

  /** Whole seconds for a refused client to wait. */
  public synchronized int retryAfter() {
    return admission.retryAfter();
  }

  /** Microseconds for which a refusal is held back before it is told, as things are now. */
  public synchronized long refusalDelay() {
    return admission.refusalDelay();
  }
}
