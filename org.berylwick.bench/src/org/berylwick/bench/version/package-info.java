/** What accepting and installing versions costs. */
package org.berylwick.bench.version;
