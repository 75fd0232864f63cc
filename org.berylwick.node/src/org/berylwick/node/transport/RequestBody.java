package org.berylwick.node.transport;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The body of a request while it comes in, and after; confined to the event loop.
 *
 * <p>It is kept whole until it is released, so that it can be sent to another node after one that refused it. Whoever
 * follows it gets what is there at once and the rest as it comes, so that a narrow link delays it once, not at each
 * hop.
 */
public final class RequestBody {
    /** A shorter one mostly comes with its head, or within some milliseconds. */
    public static final int MIN_STREAMED_BYTES = 16_384;

    private static final int MAX_PARTS = 1024;

    private final ByteBuf receivedBytes;
    private final int length;
    private final IncomingLink link;
    private final List<Subscriber> subscribers = new ArrayList<>(1);
    private Optional<Runnable> bodyRequester = Optional.empty();
    private boolean complete;
    private boolean released;

    /** Takes parts as they come. */
    public interface Subscriber {
        /** A part; the callee releases it. */
        void onRequestBodyPart(ByteBuf part);

        /** All parts have come. */
        void onRequestBodyComplete();
    }

    private RequestBody(ByteBuf receivedBytes, int length, IncomingLink link, boolean complete) {
        this.receivedBytes = receivedBytes;
        this.length = length;
        this.link = link;
        this.complete = complete;
    }

    /**
     * A body of which nothing has come yet.
     *
     * @param length in bytes, as its head tells
     * @param link that it comes over
     */
    public static RequestBody incoming(int length, IncomingLink link) {
        link.onBodyAnnounced(length);
        return new RequestBody(Unpooled.compositeBuffer(MAX_PARTS), length, link, false);
    }

    /**
     * A body that its sender keeps back until it is asked for.
     *
     * @param length in bytes, as its head tells
     * @param link that it comes over
     * @param bodyRequester asks the sender for it
     */
    public static RequestBody deferred(int length, IncomingLink link, Runnable bodyRequester) {
        RequestBody body = incoming(length, link);
        body.bodyRequester = Optional.of(bodyRequester);
        return body;
    }

    /** A body that is there. */
    public static RequestBody of(ByteBuf content) {
        return new RequestBody(content, content.readableBytes(), IncomingLink.NONE, true);
    }

    /** Its length in bytes, also before it has come. */
    public int length() {
        return length;
    }

    /** Bytes that have not come yet. */
    public int missingBytes() {
        return length - receivedBytes.readableBytes();
    }

    /** Whether its sender waits to be asked for it. */
    public boolean isDeferred() {
        return bodyRequester.isPresent();
    }

    /** Asks the sender for it, if that waits to be asked. */
    public void requestFromSender() {
        Optional<Runnable> pendingRequester = bodyRequester;
        bodyRequester = Optional.empty();
        pendingRequester.ifPresent(Runnable::run);
    }

    /** Whether all of it is there. */
    public boolean isComplete() {
        return complete;
    }

    /** A part has come; it is released with the body. */
    public void addPart(ByteBuf part) {
        if (released || complete || part.readableBytes() > missingBytes()) {
            part.release();
            return;
        }
        link.onBytesReceived(part.readableBytes());
        ((CompositeByteBuf) receivedBytes).addComponent(true, part);
        for (Subscriber subscriber : List.copyOf(subscribers)) {
            subscriber.onRequestBodyPart(part.retainedDuplicate());
        }
    }

    /** All parts have come. */
    public void markComplete() {
        if (released || complete) {
            return;
        }
        complete = true;
        for (Subscriber subscriber : List.copyOf(subscribers)) {
            subscriber.onRequestBodyComplete();
        }
    }

    /** Tells what is there now, and then the rest until {@link #unsubscribe}. */
    public void subscribe(Subscriber subscriber) {
        subscribers.add(subscriber);
        if (receivedBytes.isReadable()) {
            subscriber.onRequestBodyPart(receivedBytes.retainedDuplicate());
        }
        if (complete) {
            subscriber.onRequestBodyComplete();
        }
    }

    /** Tells a follower nothing more. */
    public void unsubscribe(Subscriber subscriber) {
        subscribers.remove(subscriber);
    }

    /** Lets go of it; nothing more is told, and parts that still come are dropped. */
    public void release() {
        if (released) {
            return;
        }
        released = true;
        subscribers.clear();
        link.onBytesReceived(missingBytes());
        receivedBytes.release();
    }
}
