/** Tests of the command line. */
package org.berylwick.pgm;
