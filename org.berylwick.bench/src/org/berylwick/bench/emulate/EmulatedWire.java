package org.berylwick.bench.emulate;

import io.netty.buffer.ByteBuf;
import java.util.Optional;
import org.berylwick.node.transport.OutgoingLink;

/** A connection that carries an answer. */
class EmulatedWire implements OutgoingLink.Sink {
    /** What the system and the connection's own buffer take before it has to wait. */
    private static final int MOST_WAITING_BYTES = 65_536;

    private final EmulatedWay.Stream stream;
    private Optional<OutgoingLink.Flow> flow = Optional.empty();

    EmulatedWire(EmulatedWay.Stream stream) {
        this.stream = stream;
        stream.onTaken(() -> {
            if (stream.waitingBytes() <= MOST_WAITING_BYTES / 2) {
                flow.ifPresent(OutgoingLink.Flow::onWritable);
            }
        });
    }

    /** Tells an answer when it takes more again. */
    void tell(OutgoingLink.Flow answer) {
        flow = Optional.of(answer);
    }

    @Override
    public void write(ByteBuf part) {
        stream.send(part.readableBytes(), part::release);
    }

    @Override
    public boolean isWritable() {
        return stream.waitingBytes() <= MOST_WAITING_BYTES;
    }

    @Override
    public void setSourceReading(boolean on) {}
}
