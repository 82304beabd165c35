package gorseladder.soak;

/**
 * A violation of a rule.
 *
 * @param at when, on the soak's clock
 * @param dispatcher which dispatcher; -1 where several are concerned
 * @param text what was seen, with the request's id where there is one
 */
public record Finding(SoakRule rule, long at, int dispatcher, String text) {}
