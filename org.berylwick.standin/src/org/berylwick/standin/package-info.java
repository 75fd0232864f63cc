/** Stand-ins for the outside systems that berylwick meets, runnable by hand. */
package org.berylwick.standin;
