/** The order of workers for each function, which every dispatcher computes alike. Free of clocks and input. */
package gorseladder.order;
