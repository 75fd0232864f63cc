package org.berylwick.pgm;

import java.util.List;
import java.util.Locale;
import org.berylwick.proto.Change;

/** Prints changes object by object with the brands that they reach. */
final class ChangeTable {
    private static final int NAMED = 3;

    private ChangeTable() {}

    static Table of(List<Change> changes) {
        Table table = new Table("CHANGE", "OBJECT", "REACHES BRANDS");
        changes.forEach(c -> table.add(word(c), c.getObject(), brands(c)));
        return table;
    }

    private static String word(Change change) {
        return change.getKind().name().toLowerCase(Locale.ROOT);
    }

    private static String brands(Change change) {
        return change.getBrandsCount() == 0 ? "-" : String.join(", ", change.getBrandsList());
    }

    /** The first of them in one line. */
    static String summary(List<Change> changes) {
        String first = String.join(
                ", ",
                changes.stream()
                        .limit(NAMED)
                        .map(c -> word(c) + " " + c.getObject())
                        .toList());
        return changes.size() > NAMED ? Messages.text(Message.AND_MORE, first, changes.size() - NAMED) : first;
    }
}
