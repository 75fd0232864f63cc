package org.berylwick.internal.limit;

import java.util.Comparator;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.berylwick.lib.TrafficClass;

/**
 * Guaranteed shares of the traffic classes in a capacity, such as slots or queue entries; never more than the capacity
 * in total.
 *
 * <p>If the capacity is at least the number of classes, each class has a share of at least one. Otherwise the less
 * urgent classes have none.
 */
final class TrafficClassShares {
    private final Map<TrafficClass, Integer> guarantees = new EnumMap<>(TrafficClass.class);

    private TrafficClassShares() {}

    /**
     * Divides a capacity by the weights of the classes.
     *
     * @param capacity number of units to divide
     * @param classes classes that get a share
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

    /** Units guaranteed to the class. */
    int guarantee(TrafficClass c) {
        return guarantees.get(c);
    }

    /** Sum of the guarantees of all classes. */
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
        largest.ifPresent(donor -> {
            guarantees.merge(donor, -1, Integer::sum);
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
