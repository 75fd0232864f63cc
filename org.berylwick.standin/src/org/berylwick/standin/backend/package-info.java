/** A stand-in of a backend server. */
package org.berylwick.standin.backend;
