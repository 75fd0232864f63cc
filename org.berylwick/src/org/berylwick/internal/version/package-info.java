/** How versions are kept in the platform's store, accepted, and installed. */
package org.berylwick.internal.version;
