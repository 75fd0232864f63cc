package org.berylwick.transport;

import org.berylwick.lib.HostPort;
import org.berylwick.lib.Labels;
import org.berylwick.lib.Member;
import org.berylwick.lib.Place;
import org.berylwick.lib.Result;
import org.berylwick.proto.MemberRecord;
import org.berylwick.proto.MemberState;

/** Members as messages between daemons. */
public final class MemberMessages {
    private MemberMessages() {}

    /** The message of a member. */
    public static MemberRecord toMessage(Member m) {
        return MemberRecord.newBuilder()
                .setInstance(m.instance())
                .setService(m.service())
                .setAddress(m.address().toString())
                .setAvailabilityZone(m.place().availabilityZone())
                .setRegion(m.place().region())
                .putAllLabels(m.labels().values())
                .setState(toMessage(m.state()))
                .setIncarnation(m.incarnation())
                .setVersion(m.version())
                .setSlots(m.slots())
                .setInstalledAtEpochMs(m.installedAtEpochMillis())
                .build();
    }

    /** The member of a message; the error says what is wrong with it. */
    public static Result<Member, String> toMember(MemberRecord r) {
        try {
            return Result.ok(new Member(
                    r.getInstance(),
                    r.getService(),
                    HostPort.fromString(r.getAddress()),
                    new Place(r.getRegion(), r.getAvailabilityZone()),
                    new Labels(r.getLabelsMap()),
                    toState(r.getState()),
                    r.getIncarnation(),
                    r.getSlots(),
                    r.getVersion(),
                    r.getInstalledAtEpochMs()));
        } catch (IllegalArgumentException e) {
            return Result.err(e.getMessage());
        }
    }

    private static MemberState toMessage(Member.State state) {
        return switch (state) {
            case STARTING -> MemberState.STARTING;
            case UP -> MemberState.UP;
            case SUSPECT -> MemberState.SUSPECT;
            case LEAVING -> MemberState.LEAVING;
            case GONE -> MemberState.GONE;
        };
    }

    private static Member.State toState(MemberState state) {
        return switch (state) {
            case STARTING -> Member.State.STARTING;
            case UP -> Member.State.UP;
            case SUSPECT -> Member.State.SUSPECT;
            case LEAVING -> Member.State.LEAVING;
            case GONE -> Member.State.GONE;
            case MEMBER_STATE_UNSPECIFIED, UNRECOGNIZED -> throw new IllegalArgumentException("no state in a record");
        };
    }
}
