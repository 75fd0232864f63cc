/** Measures what control costs and how soon it takes effect: convergence and recovery. */
package org.berylwick.bench.control;
