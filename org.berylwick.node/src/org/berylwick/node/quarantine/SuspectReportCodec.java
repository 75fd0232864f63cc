package org.berylwick.node.quarantine;

import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.List;
import org.berylwick.node.lib.RequestFingerprint;
import org.berylwick.node.lib.SuspectReport;

/** Encodes and decodes datagrams with reports; times are sent as ages, because clocks differ. */
public final class SuspectReportCodec {
    /** First four bytes of such a datagram. */
    public static final int MAGIC = 0x4257_5131;
    /** Number of reports that fit into one datagram without fragments. */
    public static final int MAX_REPORTS = 48;

    private static final int COMPLETED = 0;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private SuspectReportCodec() {}

    /**
     * Encodes a datagram.
     *
     * @param reports at most {@link #MAX_REPORTS}
     * @param now on the scale of the reports' times
     * @param out receives the bytes
     */
    public static void encode(List<SuspectReport> reports, long now, ByteBuf out) {
        out.writeInt(MAGIC);
        out.writeByte(reports.size());
        for (SuspectReport report : reports) {
            out.writeInt(report.request().uriHash());
            out.writeLong(report.request().digest());
            out.writeInt((int) Math.min(Integer.MAX_VALUE, Math.max(0, now - report.at()) / NANOS_PER_MILLI));
            switch (report) {
                case SuspectReport.Completed completed -> out.writeByte(COMPLETED);
                case SuspectReport.Crashed crashed -> {
                    out.writeByte(crashed.generation());
                    out.writeInt(crashed.incarnation());
                }
            }
        }
    }

    /**
     * Decodes a datagram after its magic number.
     *
     * @param in the bytes
     * @param now time of arrival
     * @return the reports that are complete
     */
    public static List<SuspectReport> decode(ByteBuf in, long now) {
        List<SuspectReport> reports = new ArrayList<>();
        try {
            int count = in.readUnsignedByte();
            for (int i = 0; i < count; i++) {
                RequestFingerprint request = new RequestFingerprint(in.readInt(), in.readLong());
                long at = now - Math.max(0, in.readInt()) * NANOS_PER_MILLI;
                int generation = in.readUnsignedByte();
                if (generation == COMPLETED) {
                    reports.add(new SuspectReport.Completed(request, at));
                    continue;
                }
                reports.add(new SuspectReport.Crashed(request, generation, in.readInt(), at));
            }
        } catch (IndexOutOfBoundsException e) {
            // A truncated datagram: what came is used, the rest is asked for by the next exchange of checksums.
            return reports;
        }
        return reports;
    }
}
