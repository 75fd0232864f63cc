package org.berylwick.node;

import java.lang.reflect.Proxy;

/** Runs a task when the process is sent a signal. */
final class Signals {
    private Signals() {}

    /**
     * Handles a signal; the JVM would end at it otherwise.
     *
     * @param name without SIG
     * @param task runs on a thread of the JVM
     * @return false if this JVM does not let signals be handled
     */
    static boolean handle(String name, Runnable task) {
        try {
            // The JVM's only way to handle a signal has no public name, and the compiler refuses it.
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object proxy = Proxy.newProxyInstance(handler.getClassLoader(), new Class<?>[] {handler}, (p, m, args) -> {
                if ("handle".equals(m.getName())) {
                    task.run();
                }
                return null;
            });
            Object instance = signal.getConstructor(String.class).newInstance(name);
            signal.getMethod("handle", signal, handler).invoke(null, instance, proxy);
            return true;
        } catch (ReflectiveOperationException | IllegalArgumentException e) {
            return false;
        }
    }
}
