/**
 * Stand-ins in the wire form of the users' platform: its store of objects, and backend servers that send heartbeats.
 */
package org.berylwick.standin.objects;
