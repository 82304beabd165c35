package gorseladder.soak;

/**
 * Something that went against a rule.
 *
 * @param rule the rule
 * @param at when, on the soak's clock
 * @param dispatcher which dispatcher, -1 where several
 * @param text what was seen, with the request's id where there is one
 */
public record Finding(SoakRule rule, long at, int dispatcher, String text) {}
