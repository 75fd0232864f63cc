package org.berylwick.node.call;

/** Which versions of a service a request may go to while one of them is rolled out. */
public interface VersionChoice {
    /** All versions, since there are no roll-outs. */
    VersionChoice NONE = new VersionChoice() {
        @Override
        public boolean isActive(String service) {
            return false;
        }

        @Override
        public boolean isTrial(String service, double random) {
            return false;
        }

        @Override
        public boolean isInDoubt(String service, String version) {
            return false;
        }

        @Override
        public boolean isEstablished(String service, String version) {
            return true;
        }
    };

    /** Whether backend servers of several versions provide a service. */
    boolean isActive(String service);

    /**
     * Whether a request goes to the version of its service that is in doubt.
     *
     * @param service its service
     * @param random uniform in [0, 1)
     */
    boolean isTrial(String service, double random);

    /** Whether a version gets a small share of the requests only. */
    boolean isInDoubt(String service, String version);

    /** Whether a version gets requests like any other. */
    boolean isEstablished(String service, String version);
}
