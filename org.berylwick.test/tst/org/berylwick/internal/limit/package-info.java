/** Tests of admission to the slots of a backend server. */
package org.berylwick.internal.limit;
