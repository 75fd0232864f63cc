package org.berylwick.internal.kernel;

/** A part of a process that the kernel starts and closes, and that other parts find by its name. */
public interface KernelService extends AutoCloseable {
    /** Unique in one kernel. */
    String name();

    /** Begins work; services registered earlier have started already. */
    default void start() {}

    /** Ends work and frees what the service owns; services registered later have closed already. */
    @Override
    default void close() {}
}
