/** Tests of the command objects, against a real store in memory. */
package org.berylwick.api;
