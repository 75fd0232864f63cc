package org.berylwick.lib;

/** The kinds of traffic that share a backend server's slots, most urgent first. */
public enum TrafficClass {
    /** Confirmations, orders and refunds: must run, at most once. */
    CONFIRMATION,
    /** What a customer waits for. */
    READ,
    /** Calls between services that no customer sees directly. */
    LOOKUP,
    /** Artwork downloads and archive transfers. */
    BULK
}
