/** Tests of the platform stand-in: it must fail as the real one does, or tests that rely on it prove nothing. */
package org.berylwick.standin.platform;
