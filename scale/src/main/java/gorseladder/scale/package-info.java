/**
 * The scale run: measures hollow dispatchers (the real router and list handling, without sockets) and real processes
 * over swept sizes and fits slopes. {@code docs/CAPACITY.md} uses its figures.
 */
package gorseladder.scale;
