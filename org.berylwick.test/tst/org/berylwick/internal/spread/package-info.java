/** The decisions of spreading, on a clock that the tests move. */
package org.berylwick.internal.spread;
