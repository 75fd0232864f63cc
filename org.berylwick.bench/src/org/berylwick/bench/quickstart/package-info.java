/** Shows one of the examples at work, step by step. */
package org.berylwick.bench.quickstart;
