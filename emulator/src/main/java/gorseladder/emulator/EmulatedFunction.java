package gorseladder.emulator;

/** A function of the emulated workload: its class and the resources of its copies and calls. */
record EmulatedFunction(
    String name,
    String population,
    int requestClass,
    double memoryMb,
    int lanes,
    double workMicros,
    double loadMicros) {}
