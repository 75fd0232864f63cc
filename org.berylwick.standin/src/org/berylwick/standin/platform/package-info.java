/** A stand-in of the platform's object API. */
package org.berylwick.standin.platform;
