/** Runs whole fleets of processes on this machine, to show, measure and prove. */
package org.berylwick.bench;
