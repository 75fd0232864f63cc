package org.berylwick.node;

import org.berylwick.node.log.Event;
import org.berylwick.node.log.Instruments;
import org.berylwick.node.log.NodeMetricNames;
import org.berylwick.node.member.Member;
import org.berylwick.node.member.MemberTable;
import org.berylwick.node.member.NodeState;

/** Logs what changes at other nodes, and which of them are suspected. */
final class MemberLog {
    private final Instruments instruments;

    MemberLog(Instruments instruments) {
        this.instruments = instruments;
    }

    void onChanged(Member member, MemberTable.UpdateResult updateResult) {
        NodeState state = member.state();
        instruments
                .log()
                .write(
                        Event.MEMBER_CHANGED,
                        "ip",
                        member.ip(),
                        "hearing",
                        updateResult,
                        "boot",
                        state.bootId(),
                        "service",
                        state.service(),
                        "incarnation",
                        state.incarnation(),
                        "state",
                        state.backendState(),
                        "leaving",
                        state.leaving());
    }

    /** Logs that a call to a node has failed, and its cause. */
    void onSuspected(Member member, String cause) {
        instruments.counters().increment(NodeMetricNames.MEMBERS_SUSPECTED);
        instruments
                .log()
                .write(
                        Event.MEMBER_SUSPECTED,
                        "ip",
                        member.ip(),
                        "cause",
                        cause,
                        "failures",
                        member.consecutiveFailures(),
                        "unheardMs",
                        (System.nanoTime() - member.lastDatagramAt()) / 1_000_000);
    }
}
