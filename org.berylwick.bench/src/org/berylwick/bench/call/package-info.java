/** What calls cost: open-loop load straight at a backend server and through daemons. */
package org.berylwick.bench.call;
