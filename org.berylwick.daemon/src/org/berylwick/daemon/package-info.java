/** The daemon that runs in the slot beside one backend server. */
package org.berylwick.daemon;
