/** The order of workers for a function that all dispatchers share, handed out on demand. Pure. */
package gorseladder.order;
