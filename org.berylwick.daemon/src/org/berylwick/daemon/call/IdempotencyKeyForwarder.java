package org.berylwick.daemon.call;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.RequestHeaders;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;
import org.berylwick.errors.ClaimError;
import org.berylwick.internal.idempotency.ClaimOutcome;
import org.berylwick.internal.idempotency.KeyClaim;
import org.berylwick.internal.idempotency.KeyDuty;
import org.berylwick.internal.idempotency.KeyId;
import org.berylwick.internal.idempotency.KeyRecord;
import org.berylwick.internal.idempotency.KeyRequest;
import org.berylwick.internal.idempotency.KeyState;
import org.berylwick.internal.idempotency.RequestFingerprint;
import org.berylwick.internal.idempotency.Settlement;
import org.berylwick.internal.routing.RouteMatch;
import org.berylwick.lib.Digest;
import org.berylwick.lib.Policy;
import org.berylwick.lib.RefusalReason;
import org.berylwick.lib.TimeSource;

/**
 * Forwards only the first request with a given idempotency key and responds to repeats from the stored outcome, if the
 * policy accepts such keys.
 *
 * <p>Nothing is forwarded before the claim of the key is in the store. The response is delivered to the caller while it
 * is being recorded, not afterwards. A caller that disconnects before its response begins does not cancel the request,
 * since it is expected to repeat the request in order to get the response.
 */
final class IdempotencyKeyForwarder {
    private static final Pattern VALID_KEY = Pattern.compile("[\\x21-\\x7E]{1,255}");
    private static final long RETRY_AFTER_MILLIS = 1_000;
    private static final byte[] EMPTY_BODY = new byte[0];

    private final Forwarder forwarder;
    private final KeyDuty keys;
    private final TimeSource time;

    IdempotencyKeyForwarder(Forwarder forwarder, KeyDuty keys, TimeSource time) {
        this.forwarder = forwarder;
        this.keys = keys;
        this.time = time;
    }

    /** Returns the final response to the call, which is forwarded unless its key has been used or is invalid. */
    HttpResponse forward(Call call) {
        Policy.KeyRule keyRule = call.match().policy().idempotencyKey();
        if (keyRule == Policy.KeyRule.IGNORED) {
            return forwarder.forward(call);
        }
        List<String> values = call.headers().getAll(CallHeaders.IDEMPOTENCY_KEY);
        if (values.isEmpty()) {
            return keyRule == Policy.KeyRule.OPTIONAL
                    ? forwarder.forward(call)
                    : Problem.badRequest(
                            call.requestId(),
                            "policy " + call.match().policy().name() + " requires the header Idempotency-Key");
        }
        if (values.size() > 1 || !VALID_KEY.matcher(values.getFirst()).matches()) {
            return Problem.badRequest(
                    call.requestId(), "Idempotency-Key must be given once, as 1 to 255 visible ASCII characters");
        }
        KeyId key = KeyId.of(call.match().brand().name(), call.match().route().name(), values.getFirst());
        return claim(call, key, fingerprint(call));
    }

    /** Of a streamed body, which has not been received yet, only the declared length is included. */
    private static Digest fingerprint(Call call) {
        byte[] body = call.body() instanceof CallBody.Buffered(HttpData content) ? content.array() : EMPTY_BODY;
        RequestHeaders requestHeaders = call.headers();
        return RequestFingerprint.of(
                requestHeaders.method().name(),
                requestHeaders.path(),
                requestHeaders.get(HttpHeaderNames.AUTHORIZATION, ""),
                requestHeaders.contentLength(),
                body);
    }

    private HttpResponse claim(Call call, KeyId key, Digest fingerprint) {
        long claimExpiresAtMillis = time.epochMillis() + call.deadline().remainingMillis(time);
        KeyRequest request = new KeyRequest(key, fingerprint, claimExpiresAtMillis);
        return HttpResponse.of(keys.claim(request, call.deadline())
                .thenApplyAsync(
                        outcome -> switch (outcome) {
                            case ClaimOutcome.Granted(KeyClaim claim) -> runClaimed(call, claim);
                            case ClaimOutcome.Taken(KeyRecord existing) -> respondToRepeat(call, fingerprint, existing);
                            case ClaimOutcome.Refused(ClaimError error, var ignored) ->
                                respondToClaimError(call, error);
                        },
                        call.context().eventLoop()));
    }

    private HttpResponse runClaimed(Call call, KeyClaim claim) {
        if (call.deadline().isPast(time)) {
            keys.settle(claim, new Settlement.Release());
            return Problem.notRun(call.requestId(), RefusalReason.DEADLINE, Optional.empty());
        }
        KeyedResponseRecorder recorder = new KeyedResponseRecorder(settlement -> keys.settle(claim, settlement));
        try {
            return recorder.record(forwarder.forward(withoutIdempotentPolicy(call)));
        } catch (RuntimeException e) {
            // It is unknown whether the request was sent before the exception.
            keys.settle(claim, new Settlement.Keep(new KeyState.Unknown()));
            throw e;
        }
    }

    /**
     * Returns the call with a non-idempotent policy: a caller that sends a key asks for a single run, even if the
     * policy declares that running the request again is safe.
     */
    private static Call withoutIdempotentPolicy(Call call) {
        RouteMatch match = call.match();
        Policy policy = match.policy();
        Policy nonIdempotent = new Policy(
                policy.name(),
                policy.priority(),
                policy.routes(),
                policy.brands(),
                policy.trafficClass(),
                policy.timeoutMillis(),
                policy.maxAttempts(),
                false,
                policy.idempotencyKey());
        return call.withMatch(new RouteMatch(match.brand(), match.route(), nonIdempotent, match.service()));
    }

    private HttpResponse respondToRepeat(Call call, Digest fingerprint, KeyRecord existing) {
        String requestId = call.requestId();
        if (!existing.fingerprint().equals(fingerprint.hex())) {
            return Problem.keyReused(requestId, "this Idempotency-Key was used with another request");
        }
        return switch (existing.run()) {
            case KeyState.Answered(var storedResponse) -> KeyedResponseRecorder.replay(requestId, storedResponse);
            case KeyState.Ran(int status) ->
                Problem.keyConflict(
                        requestId,
                        "key-already-run",
                        "the first request with this Idempotency-Key ran and was answered " + status
                                + "; its answer was not kept",
                        Optional.empty());
            case KeyState.Claimed(long claimExpiresAtMillis)
            when time.epochMillis() < claimExpiresAtMillis ->
                Problem.keyConflict(
                        requestId,
                        "key-in-progress",
                        "the first request with this Idempotency-Key has no recorded outcome yet",
                        Optional.of(RETRY_AFTER_MILLIS));
            case KeyState.Claimed ignored -> outcomeUnknown(requestId);
            case KeyState.Unknown() -> outcomeUnknown(requestId);
        };
    }

    private static HttpResponse outcomeUnknown(String requestId) {
        return Problem.keyConflict(
                requestId,
                "key-outcome-unknown",
                "the first request with this Idempotency-Key may have run; it is not run again",
                Optional.empty());
    }

    private HttpResponse respondToClaimError(Call call, ClaimError error) {
        return switch (error) {
            case ClaimError.TooManyClaims() ->
                Problem.notRun(call.requestId(), RefusalReason.OVERLOADED, Optional.of(RETRY_AFTER_MILLIS));
            case ClaimError.StoreBusy(long retryAfterMillis) ->
                Problem.notRun(call.requestId(), RefusalReason.STORE_UNAVAILABLE, Optional.of(retryAfterMillis));
            case ClaimError.StoreUnavailable ignored -> storeUnavailable(call);
            case ClaimError.Undecided ignored -> storeUnavailable(call);
            case ClaimError.Unreadable ignored -> storeUnavailable(call);
            case ClaimError.SlotFull ignored -> storeUnavailable(call);
        };
    }

    private static HttpResponse storeUnavailable(Call call) {
        return Problem.notRun(call.requestId(), RefusalReason.STORE_UNAVAILABLE, Optional.of(RETRY_AFTER_MILLIS));
    }
}
