/**
 * The fault soak: dispatchers run as separate processes between clients, runners and a change log that misbehave by a
 * plan drawn from a seed, and an oracle judges them by their sockets and logs only. Threads: {@code SoakRun} controls
 * the run; each connection has its own threads. Times are microseconds on {@link gorseladder.runtime.Clock#micros()} of
 * the soak's process.
 */
package gorseladder.soak;
