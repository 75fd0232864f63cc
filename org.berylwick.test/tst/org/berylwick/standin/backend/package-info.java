/** Tests of the backend server stand-in, the judge of what was run. */
package org.berylwick.standin.backend;
