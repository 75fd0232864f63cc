package org.berylwick.pgm;

import org.berylwick.proto.Fault;

/** Prints faults as file, line, field and rule. */
final class Faults {
    private Faults() {}

    static String line(Fault fault) {
        return new org.berylwick.errors.Fault(fault.getDocument(), fault.getLine(), fault.getField(), fault.getRule())
                .toString();
    }
}
