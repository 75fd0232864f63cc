/** Decides whether a request may be sent again, when, and how many such repeats a daemon may make in all. */
package org.berylwick.internal.retry;
