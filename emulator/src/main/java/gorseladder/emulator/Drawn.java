package gorseladder.emulator;

/** A function as drawn: which class it is of and what its copies and calls need. Times in microseconds. */
record Drawn(
    String name,
    String population,
    int requestClass,
    double memoryMb,
    int lanes,
    double workMicros,
    double loadMicros) {}
