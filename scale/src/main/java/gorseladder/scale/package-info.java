/**
 * The scale run: hollow dispatchers (the real router and list handling, no sockets) beside real processes, over swept
 * sizes, with fitted slopes. Its figures feed {@code docs/CAPACITY.md}.
 */
package gorseladder.scale;
