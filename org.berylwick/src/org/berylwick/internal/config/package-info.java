/** Reads, checks, encodes and compares declared configurations. */
package org.berylwick.internal.config;
