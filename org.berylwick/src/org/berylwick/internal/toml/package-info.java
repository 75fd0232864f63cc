/** Reads TOML tables field by field, and reports every fault at once with its line. */
package org.berylwick.internal.toml;
