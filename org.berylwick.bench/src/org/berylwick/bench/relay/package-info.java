/** Links between processes that can be cut, frozen and delayed. */
package org.berylwick.bench.relay;
