package org.berylwick.internal.kernel;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.berylwick.internal.event.EventLog;
import org.berylwick.internal.event.ProcessEvent;

/**
 * Holds a process's services in the order in which they were registered.
 *
 * <p>Services are started in that order and closed in the reverse one. Registering and finding is for one thread,
 * before and while starting.
 */
public final class Kernel implements AutoCloseable {
    private static final EventLog EVENTS = new EventLog(Kernel.class);

    private final List<KernelService> services = new ArrayList<>();
    private int started;

    /**
     * Adds a service.
     *
     * @throws IllegalArgumentException if the name is taken
     */
    public <T extends KernelService> T register(T service) {
        if (find(service.name()).isPresent()) {
            throw new IllegalArgumentException("two services are named " + service.name());
        }
        services.add(service);
        return service;
    }

    /**
     * Finds a service.
     *
     * @throws IllegalStateException if there is none of that name and type
     */
    public <T extends KernelService> T get(String name, Class<T> type) {
        return find(name)
                .filter(type::isInstance)
                .map(type::cast)
                .orElseThrow(() -> new IllegalStateException("no service named " + name + " of " + type));
    }

    private Optional<KernelService> find(String name) {
        return services.stream().filter(s -> s.name().equals(name)).findFirst();
    }

    /** Starts every service; if one fails, those already started are closed. */
    public void start() {
        try {
            while (started < services.size()) {
                services.get(started).start();
                started++;
            }
        } catch (RuntimeException e) {
            close();
            throw e;
        }
    }

    @Override
    public void close() {
        while (started > 0) {
            started--;
            KernelService service = services.get(started);
            try {
                service.close();
            } catch (RuntimeException e) {
                EVENTS.log(ProcessEvent.NOT_CLOSED, service.name(), e);
            }
        }
    }
}
