package org.berylwick.lib;

import java.util.function.Function;

/**
 * The result of an operation that may fail in ways its caller must tell apart.
 *
 * @param <T> the value on success
 * @param <E> the layer's error type, usually sealed
 */
public sealed interface Result<T, E> {
    /** Success. */
    record Ok<T, E>(T value) implements Result<T, E> {}

    /** Failure. */
    record Err<T, E>(E error) implements Result<T, E> {}

    /** Wraps a value. */
    static <T, E> Result<T, E> ok(T value) {
        return new Ok<>(value);
    }

    /** Wraps an error. */
    static <T, E> Result<T, E> err(E error) {
        return new Err<>(error);
    }

    /** Applies {@code f} to the value of a success; an error passes unchanged. */
    default <U> Result<U, E> map(Function<? super T, ? extends U> f) {
        return switch (this) {
            case Ok<T, E>(T value) -> ok(f.apply(value));
            case Err<T, E>(E error) -> err(error);
        };
    }

    /** Chains an operation that may fail; an error passes unchanged. */
    default <U> Result<U, E> flatMap(Function<? super T, Result<U, E>> f) {
        return switch (this) {
            case Ok<T, E>(T value) -> f.apply(value);
            case Err<T, E>(E error) -> err(error);
        };
    }

    /** Turns the error of a lower layer into one of the caller's layer. */
    default <F> Result<T, F> mapError(Function<? super E, ? extends F> f) {
        return switch (this) {
            case Ok<T, E>(T value) -> ok(value);
            case Err<T, E>(E error) -> err(f.apply(error));
        };
    }
}
