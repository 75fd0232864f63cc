package org.berylwick.node;

import java.lang.reflect.Proxy;

/** Runs tasks when the process receives a signal. */
final class Signals {
    private Signals() {}

    /**
     * Handles a signal that would otherwise terminate the JVM.
     *
     * @param name name of the signal, without the prefix SIG
     * @param task task to run on a thread of the JVM when the signal arrives
     * @return false if this JVM does not allow the signal to be handled
     */
    static boolean handle(String name, Runnable task) {
        try {
            // Signals can be handled only with this internal class of the JVM. The compiler does not accept references
            // to it, so it is used by reflection.
            Class<?> signalType = Class.forName("sun.misc.Signal");
            Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
            Object handlerProxy = Proxy.newProxyInstance(
                    handlerType.getClassLoader(), new Class<?>[] {handlerType}, (self, method, args) -> {
                        if ("handle".equals(method.getName())) {
                            task.run();
                        }
                        return null;
                    });
            Object signal = signalType.getConstructor(String.class).newInstance(name);
            signalType.getMethod("handle", signalType, handlerType).invoke(null, signal, handlerProxy);
            return true;
        } catch (ReflectiveOperationException | IllegalArgumentException e) {
            return false;
        }
    }
}
