package org.berylwick.node.transport;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The body of a request, during and after its arrival; confined to the event loop.
 *
 * <p>All received bytes are kept until the body is released, so that it can be sent to another node after one node has
 * refused the request. Subscribers get the bytes received so far immediately and the rest as it arrives, so that a
 * narrow link delays the body once and not again at each hop.
 */
public final class RequestBody {
    /**
     * Length from which a body is forwarded while it arrives. A shorter body usually arrives with its request head, or
     * within a few milliseconds.
     */
    public static final int MIN_STREAMED_BYTES = 16_384;

    private static final int MAX_PARTS = 1024;

    private final ByteBuf receivedBytes;
    private final int length;
    private final IncomingLink link;
    private final List<Subscriber> subscribers = new ArrayList<>(1);
    private Optional<Runnable> bodyRequester = Optional.empty();
    private boolean complete;
    private boolean released;

    /** Receives the parts of a body. */
    public interface Subscriber {
        /** Called with each part; the callee releases it. */
        void onRequestBodyPart(ByteBuf part);

        /** Called when all parts have been passed on. */
        void onRequestBodyComplete();
    }

    private RequestBody(ByteBuf receivedBytes, int length, IncomingLink link, boolean complete) {
        this.receivedBytes = receivedBytes;
        this.length = length;
        this.link = link;
        this.complete = complete;
    }

    /**
     * Creates a body of which nothing has arrived yet.
     *
     * @param length length in bytes as announced in the request head
     * @param link link over which it arrives
     */
    public static RequestBody incoming(int length, IncomingLink link) {
        link.onBodyAnnounced(length);
        return new RequestBody(Unpooled.compositeBuffer(MAX_PARTS), length, link, false);
    }

    /**
     * Creates a body that its sender holds back until it is requested.
     *
     * @param length length in bytes as announced in the request head
     * @param link link over which it arrives
     * @param bodyRequester requests the body from its sender
     */
    public static RequestBody deferred(int length, IncomingLink link, Runnable bodyRequester) {
        RequestBody body = incoming(length, link);
        body.bodyRequester = Optional.of(bodyRequester);
        return body;
    }

    /** Creates a body that has arrived completely. */
    public static RequestBody of(ByteBuf content) {
        return new RequestBody(content, content.readableBytes(), IncomingLink.NONE, true);
    }

    /** Returns the length in bytes, including bytes that have not arrived yet. */
    public int length() {
        return length;
    }

    /** Returns the number of bytes that have not arrived yet. */
    public int missingBytes() {
        return length - receivedBytes.readableBytes();
    }

    /** Returns all bytes without transferring ownership; empty if the body is incomplete or was released. */
    public Optional<ByteBuf> completeBytes() {
        return complete && !released ? Optional.of(receivedBytes) : Optional.empty();
    }

    /** Returns whether the sender holds the body back until it is requested. */
    public boolean isDeferred() {
        return bodyRequester.isPresent();
    }

    /** Requests the body from its sender if the sender is holding it back. */
    public void requestFromSender() {
        Optional<Runnable> pendingRequester = bodyRequester;
        bodyRequester = Optional.empty();
        pendingRequester.ifPresent(Runnable::run);
    }

    /** Returns whether the body has arrived completely. */
    public boolean isComplete() {
        return complete;
    }

    /**
     * Adds a part that has arrived. It is released with the body, or at once if the body has been released, is complete
     * or would exceed its length.
     */
    public void addPart(ByteBuf part) {
        if (released || complete || part.readableBytes() > missingBytes()) {
            part.release();
            return;
        }
        link.onBytesReceived(part.readableBytes());
        // Retained, because the buffer merges its parts and releases them once they exceed their maximum number.
        part.retain();
        ((CompositeByteBuf) receivedBytes).addComponent(true, part);
        for (Subscriber subscriber : List.copyOf(subscribers)) {
            subscriber.onRequestBodyPart(part.retainedDuplicate());
        }
        part.release();
    }

    /** Marks the body as completely arrived. */
    public void markComplete() {
        if (released || complete) {
            return;
        }
        complete = true;
        for (Subscriber subscriber : List.copyOf(subscribers)) {
            subscriber.onRequestBodyComplete();
        }
    }

    /** Passes on the bytes received so far, and each further part until {@link #unsubscribe}. */
    public void subscribe(Subscriber subscriber) {
        subscribers.add(subscriber);
        if (receivedBytes.isReadable()) {
            subscriber.onRequestBodyPart(receivedBytes.retainedDuplicate());
        }
        if (complete) {
            subscriber.onRequestBodyComplete();
        }
    }

    /** Stops passing parts on to a subscriber. */
    public void unsubscribe(Subscriber subscriber) {
        subscribers.remove(subscriber);
    }

    /** Releases the received bytes. Subscribers are not called any more, and parts that still arrive are discarded. */
    public void release() {
        if (released) {
            return;
        }
        released = true;
        subscribers.clear();
        // The missing bytes no longer count as outstanding.
        link.onBytesReceived(missingBytes());
        receivedBytes.release();
    }
}
