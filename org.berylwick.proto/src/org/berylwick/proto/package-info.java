/** Generated messages and service stubs of the daemon's gRPC protocols; see {@code proto/}. */
package org.berylwick.proto;
