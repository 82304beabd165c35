/**
 * The fault soak: dispatchers as processes of their own between clients, runners and a change log that misbehave by a
 * plan drawn from a seed, and an oracle that sees their sockets and logs only. Threads: {@code SoakRun} leads; each
 * connection has threads of its own. Times are microseconds on {@link gorseladder.runtime.Clock#micros()} of the soak's
 * process.
 */
package gorseladder.soak;
