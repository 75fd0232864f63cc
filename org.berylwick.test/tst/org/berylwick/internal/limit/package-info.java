/** Tests of the admission control of a backend server. */
package org.berylwick.internal.limit;
