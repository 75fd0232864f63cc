package org.berylwick.internal.limit;

import java.util.Comparator;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.berylwick.lib.TrafficClass;

/**
 * How many of a number of places each traffic class can always have; together never more than there are.
 *
 * <p>With at least as many places as classes, each of the given classes has one or more. With fewer, the less urgent
 * classes go without.
 */
final class TrafficClassShares {
    private final Map<TrafficClass, Integer> guarantees = new EnumMap<>(TrafficClass.class);

    private TrafficClassShares() {}

    /**
     * Divides places by weight.
     *
     * @param capacity to divide
     * @param classes which have a share
     */
    static TrafficClassShares divide(int capacity, Set<TrafficClass> classes) {
        TrafficClassShares shares = new TrafficClassShares();
        int totalWeight = classes.stream().mapToInt(TrafficClassShares::weight).sum();
        for (TrafficClass c : TrafficClass.values()) {
            shares.guarantees.put(c, classes.contains(c) ? capacity * weight(c) / totalWeight : 0);
        }
        for (TrafficClass c : TrafficClass.values()) {
            if (classes.contains(c) && shares.guarantee(c) == 0) {
                shares.grantMinimum(c, capacity);
            }
        }
        return shares;
    }

    /** Places that the class can always have. */
    int guarantee(TrafficClass c) {
        return guarantees.get(c);
    }

    /** Places that any class can always have, all together. */
    int total() {
        return guarantees.values().stream().mapToInt(Integer::intValue).sum();
    }

    private void grantMinimum(TrafficClass c, int capacity) {
        if (total() < capacity) {
            guarantees.put(c, 1);
            return;
        }
        Optional<TrafficClass> largest = guarantees.entrySet().stream()
                .filter(e -> e.getValue() > 1)
                .max(Comparator.comparingInt(Map.Entry::getValue))
                .map(Map.Entry::getKey);
        largest.ifPresent(r -> {
            guarantees.merge(r, -1, Integer::sum);
            guarantees.put(c, 1);
        });
    }

    private static int weight(TrafficClass c) {
        return switch (c) {
            case CONFIRMATION, READ -> 4;
            case LOOKUP, BULK -> 2;
        };
    }
}
