/** Admission control: which requests run now, which wait and which are refused. */
package org.berylwick.internal.limit;
