/** Tests of the spread protocol logic, on a clock that the tests control. */
package org.berylwick.internal.spread;
