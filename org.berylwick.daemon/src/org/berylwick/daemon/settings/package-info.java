/** The daemon's settings: read once from TOML into records, checked as a whole. */
package org.berylwick.daemon.settings;
