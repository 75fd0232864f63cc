/** Tests of the adapter to the platform. */
package org.berylwick.platform;
