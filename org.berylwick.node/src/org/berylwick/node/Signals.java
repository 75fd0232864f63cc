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
            Class<?> signalType = Class.forName("sun.misc.Signal");
            Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
            Object handlerProxy = Proxy.newProxyInstance(
                    handlerType.getClassLoader(), new Class<?>[] {handlerType}, (self, method, args) -> {
                        if ("handle".equals(method.getName())) {
                            task.run();
                        }
                        return null;
                    });
            Object signalInstance = signalType.getConstructor(String.class).newInstance(name);
            signalType.getMethod("handle", signalType, handlerType).invoke(null, signalInstance, handlerProxy);
            return true;
        } catch (ReflectiveOperationException | IllegalArgumentException e) {
            return false;
        }
    }
}
