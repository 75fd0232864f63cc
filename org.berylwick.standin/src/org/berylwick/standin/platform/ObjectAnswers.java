package org.berylwick.standin.platform;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.ResponseHeadersBuilder;
import java.util.Optional;
import org.berylwick.errors.StoreError;
import org.berylwick.lib.Result;
import org.berylwick.transport.HttpPlatformStore;
import org.berylwick.transport.ObjectFrames;
import org.berylwick.transport.StoredObject;
import org.berylwick.transport.WatchBatch;

/** Turns results of the store into HTTP answers. */
final class ObjectAnswers {
    private ObjectAnswers() {}

    static HttpResponse read(Result<Optional<StoredObject>, StoreError> result) {
        return switch (result) {
            case Result.Err<Optional<StoredObject>, StoreError>(StoreError error) -> error(error);
            case Result.Ok<Optional<StoredObject>, StoreError>(Optional<StoredObject> found) ->
                found.map(ObjectAnswers::object).orElseGet(() -> HttpResponse.of(HttpStatus.NOT_FOUND));
        };
    }

    private static HttpResponse object(StoredObject o) {
        ResponseHeadersBuilder headers = etag(ResponseHeaders.builder(HttpStatus.OK), o.version());
        return HttpResponse.of(headers.build(), HttpData.wrap(o.value()));
    }

    static HttpResponse written(Result<Long, StoreError> result) {
        return switch (result) {
            case Result.Err<Long, StoreError>(StoreError error) -> error(error);
            case Result.Ok<Long, StoreError>(Long version) ->
                HttpResponse.of(
                        etag(ResponseHeaders.builder(HttpStatus.OK), version).build());
        };
    }

    static HttpResponse batch(Result<WatchBatch, StoreError> result) {
        return switch (result) {
            case Result.Err<WatchBatch, StoreError>(StoreError error) -> error(error);
            case Result.Ok<WatchBatch, StoreError>(WatchBatch batch) ->
                HttpResponse.of(
                        ResponseHeaders.builder(HttpStatus.OK)
                                .setLong(HttpPlatformStore.REVISION_HEADER, batch.revision())
                                .build(),
                        HttpData.wrap(ObjectFrames.encode(batch.changed())));
        };
    }

    static HttpResponse rateLimited() {
        return HttpResponse.of(ResponseHeaders.builder(HttpStatus.TOO_MANY_REQUESTS)
                .setInt(HttpHeaderNames.RETRY_AFTER, 1)
                .build());
    }

    static HttpResponse error(StoreError error) {
        return switch (error) {
            case StoreError.PreconditionFailed(var current) -> {
                ResponseHeadersBuilder headers = ResponseHeaders.builder(HttpStatus.PRECONDITION_FAILED);
                current.ifPresent(v -> etag(headers, v));
                yield HttpResponse.of(headers.build());
            }
            case StoreError.TooLarge ignored -> HttpResponse.of(HttpStatus.REQUEST_ENTITY_TOO_LARGE);
            case StoreError.RateLimited ignored -> rateLimited();
            case StoreError.Unavailable ignored -> HttpResponse.of(HttpStatus.SERVICE_UNAVAILABLE);
            case StoreError.OutcomeUnknown ignored -> HttpResponse.of(HttpStatus.GATEWAY_TIMEOUT);
            case StoreError.Malformed ignored -> HttpResponse.of(HttpStatus.INTERNAL_SERVER_ERROR);
        };
    }

    private static ResponseHeadersBuilder etag(ResponseHeadersBuilder headers, long version) {
        return headers.set(HttpHeaderNames.ETAG, "\"" + version + "\"");
    }
}
