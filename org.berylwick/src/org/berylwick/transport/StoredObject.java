package org.berylwick.transport;

/**
 * An object as the store holds it.
 *
 * @param key its name
 * @param version rises with every write to any object of the store; names this state of this object
 * @param value at most a megabyte; empty for a deleted object in a watch
 * @param deleted true only in a watch, for an object that is gone
 */
public record StoredObject(ObjectKey key, long version, byte[] value, boolean deleted) {}
