package gorseladder.edge.core;

import gorseladder.admission.Admission;
import gorseladder.admission.Admission.Arrival;
import gorseladder.runtime.Clock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Asks {@link Admission} whether a call may enter, before its signature check or the ledger cost anything. Refusals are
 * counted and logged in one line every few seconds, since a line for each would cost more than the refusal itself.
 *
 * <p>Thread safe.
 */
public final class AdmissionCheck {
  private static final Logger LOG = LoggerFactory.getLogger(AdmissionCheck.class);
  private static final long WARNING_INTERVAL_MICROS = 5_000_000;

  /** Null if every call is admitted. */
  private final Admission admission;

  private long lastId;
  private long lastWarningAt;
  private long refusalsAtLastWarning;

  /**
   * Creates a check.
   *
   * @param admission decides; null to admit every call
   */
  public AdmissionCheck(Admission admission) {
    this.admission = admission;
    this.lastWarningAt = Clock.micros() - WARNING_INTERVAL_MICROS;
  }

  /** An admitted call, until it is first sent or has ended. */
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

    /**
     * Repeats the admission decision once the call's class is known.
     *
     * @return false if the call is refused; it then no longer counts as admitted
     */
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

    /** The call was sent to a runner. */
    void sent() {
      end(true);
    }

    /** The call ended, or its request turned out not to be a call. */
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
   * Admits or refuses a call.
   *
   * @param maxLatencyTarget the highest latency target of the classes that the call may belong to, in microseconds
   * @param waited microseconds that the request waited to be read
   * @param known true if the ledger knows the message; such a call is never refused here, since an earlier delivery of
   *     it may have run
   * @return null if the call is refused
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

  /** Returns the whole seconds that a refused client should wait. */
  public synchronized int retryAfter() {
    return admission.retryAfter();
  }

  /** Returns the microseconds by which a refusal is delayed at present. */
  public synchronized long refusalDelay() {
    return admission.refusalDelay();
  }
}
