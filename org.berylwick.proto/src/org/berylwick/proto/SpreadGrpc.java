package org.berylwick.proto;

import static io.grpc.MethodDescriptor.generateFullMethodName;

/**
 * <pre>
 * Between daemons: spreads configuration versions and membership.
 * </pre>
 */
@io.grpc.stub.annotations.GrpcGenerated
public final class SpreadGrpc {

  private SpreadGrpc() {}

  public static final java.lang.String SERVICE_NAME = "berylwick.v1.Spread";

  // Static method descriptors that strictly reflect the proto.
  private static volatile io.grpc.MethodDescriptor<org.berylwick.proto.PeerMessage,
      org.berylwick.proto.PeerMessage> getExchangeMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Exchange",
      requestType = org.berylwick.proto.PeerMessage.class,
      responseType = org.berylwick.proto.PeerMessage.class,
      methodType = io.grpc.MethodDescriptor.MethodType.BIDI_STREAMING)
  public static io.grpc.MethodDescriptor<org.berylwick.proto.PeerMessage,
      org.berylwick.proto.PeerMessage> getExchangeMethod() {
    io.grpc.MethodDescriptor<org.berylwick.proto.PeerMessage, org.berylwick.proto.PeerMessage> getExchangeMethod;
    if ((getExchangeMethod = SpreadGrpc.getExchangeMethod) == null) {
      synchronized (SpreadGrpc.class) {
        if ((getExchangeMethod = SpreadGrpc.getExchangeMethod) == null) {
          SpreadGrpc.getExchangeMethod = getExchangeMethod =
              io.grpc.MethodDescriptor.<org.berylwick.proto.PeerMessage, org.berylwick.proto.PeerMessage>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.BIDI_STREAMING)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Exchange"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.berylwick.proto.PeerMessage.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.berylwick.proto.PeerMessage.getDefaultInstance()))
              .setSchemaDescriptor(new SpreadMethodDescriptorSupplier("Exchange"))
              .build();
        }
      }
    }
    return getExchangeMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.berylwick.proto.FetchVersionRequest,
      org.berylwick.proto.VersionChunk> getFetchVersionMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "FetchVersion",
      requestType = org.berylwick.proto.FetchVersionRequest.class,
      responseType = org.berylwick.proto.VersionChunk.class,
      methodType = io.grpc.MethodDescriptor.MethodType.SERVER_STREAMING)
  public static io.grpc.MethodDescriptor<org.berylwick.proto.FetchVersionRequest,
      org.berylwick.proto.VersionChunk> getFetchVersionMethod() {
    io.grpc.MethodDescriptor<org.berylwick.proto.FetchVersionRequest, org.berylwick.proto.VersionChunk> getFetchVersionMethod;
    if ((getFetchVersionMethod = SpreadGrpc.getFetchVersionMethod) == null) {
      synchronized (SpreadGrpc.class) {
        if ((getFetchVersionMethod = SpreadGrpc.getFetchVersionMethod) == null) {
          SpreadGrpc.getFetchVersionMethod = getFetchVersionMethod =
              io.grpc.MethodDescriptor.<org.berylwick.proto.FetchVersionRequest, org.berylwick.proto.VersionChunk>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.SERVER_STREAMING)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "FetchVersion"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.berylwick.proto.FetchVersionRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.berylwick.proto.VersionChunk.getDefaultInstance()))
              .setSchemaDescriptor(new SpreadMethodDescriptorSupplier("FetchVersion"))
              .build();
        }
      }
    }
    return getFetchVersionMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.berylwick.proto.ProbeRequest,
      org.berylwick.proto.ProbeReply> getProbeMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Probe",
      requestType = org.berylwick.proto.ProbeRequest.class,
      responseType = org.berylwick.proto.ProbeReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.berylwick.proto.ProbeRequest,
      org.berylwick.proto.ProbeReply> getProbeMethod() {
    io.grpc.MethodDescriptor<org.berylwick.proto.ProbeRequest, org.berylwick.proto.ProbeReply> getProbeMethod;
    if ((getProbeMethod = SpreadGrpc.getProbeMethod) == null) {
      synchronized (SpreadGrpc.class) {
        if ((getProbeMethod = SpreadGrpc.getProbeMethod) == null) {
          SpreadGrpc.getProbeMethod = getProbeMethod =
              io.grpc.MethodDescriptor.<org.berylwick.proto.ProbeRequest, org.berylwick.proto.ProbeReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Probe"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.berylwick.proto.ProbeRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.berylwick.proto.ProbeReply.getDefaultInstance()))
              .setSchemaDescriptor(new SpreadMethodDescriptorSupplier("Probe"))
              .build();
        }
      }
    }
    return getProbeMethod;
  }

  /**
   * Creates a new async stub that supports all call types for the service
   */
  public static SpreadStub newStub(io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<SpreadStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<SpreadStub>() {
        @java.lang.Override
        public SpreadStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new SpreadStub(channel, callOptions);
        }
      };
    return SpreadStub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports all types of calls on the service
   */
  public static SpreadBlockingV2Stub newBlockingV2Stub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<SpreadBlockingV2Stub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<SpreadBlockingV2Stub>() {
        @java.lang.Override
        public SpreadBlockingV2Stub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new SpreadBlockingV2Stub(channel, callOptions);
        }
      };
    return SpreadBlockingV2Stub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports unary and streaming output calls on the service
   */
  public static SpreadBlockingStub newBlockingStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<SpreadBlockingStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<SpreadBlockingStub>() {
        @java.lang.Override
        public SpreadBlockingStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new SpreadBlockingStub(channel, callOptions);
        }
      };
    return SpreadBlockingStub.newStub(factory, channel);
  }

  /**
   * Creates a new ListenableFuture-style stub that supports unary calls on the service
   */
  public static SpreadFutureStub newFutureStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<SpreadFutureStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<SpreadFutureStub>() {
        @java.lang.Override
        public SpreadFutureStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new SpreadFutureStub(channel, callOptions);
        }
      };
    return SpreadFutureStub.newStub(factory, channel);
  }

  /**
   * <pre>
   * Between daemons: spreads configuration versions and membership.
   * </pre>
   */
  public interface AsyncService {

    /**
     * <pre>
     * One long-lived stream a pair of daemons; both sides send notices and membership changes.
     * </pre>
     */
    default io.grpc.stub.StreamObserver<org.berylwick.proto.PeerMessage> exchange(
        io.grpc.stub.StreamObserver<org.berylwick.proto.PeerMessage> responseObserver) {
      return io.grpc.stub.ServerCalls.asyncUnimplementedStreamingCall(getExchangeMethod(), responseObserver);
    }

    /**
     * <pre>
     * Sends the version in force at the callee, as a delta where it still knows the asker's base.
     * </pre>
     */
    default void fetchVersion(org.berylwick.proto.FetchVersionRequest request,
        io.grpc.stub.StreamObserver<org.berylwick.proto.VersionChunk> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getFetchVersionMethod(), responseObserver);
    }

    /**
     * <pre>
     * Tells that the callee runs, or tries the same on another daemon for the asker.
     * </pre>
     */
    default void probe(org.berylwick.proto.ProbeRequest request,
        io.grpc.stub.StreamObserver<org.berylwick.proto.ProbeReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getProbeMethod(), responseObserver);
    }
  }

  /**
   * Base class for the server implementation of the service Spread.
   * <pre>
   * Between daemons: spreads configuration versions and membership.
   * </pre>
   */
  public static abstract class SpreadImplBase
      implements io.grpc.BindableService, AsyncService {

    @java.lang.Override public final io.grpc.ServerServiceDefinition bindService() {
      return SpreadGrpc.bindService(this);
    }
  }

  /**
   * A stub to allow clients to do asynchronous rpc calls to service Spread.
   * <pre>
   * Between daemons: spreads configuration versions and membership.
   * </pre>
   */
  public static final class SpreadStub
      extends io.grpc.stub.AbstractAsyncStub<SpreadStub> {
    private SpreadStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected SpreadStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new SpreadStub(channel, callOptions);
    }

    /**
     * <pre>
     * One long-lived stream a pair of daemons; both sides send notices and membership changes.
     * </pre>
     */
    public io.grpc.stub.StreamObserver<org.berylwick.proto.PeerMessage> exchange(
        io.grpc.stub.StreamObserver<org.berylwick.proto.PeerMessage> responseObserver) {
      return io.grpc.stub.ClientCalls.asyncBidiStreamingCall(
          getChannel().newCall(getExchangeMethod(), getCallOptions()), responseObserver);
    }

    /**
     * <pre>
     * Sends the version in force at the callee, as a delta where it still knows the asker's base.
     * </pre>
     */
    public void fetchVersion(org.berylwick.proto.FetchVersionRequest request,
        io.grpc.stub.StreamObserver<org.berylwick.proto.VersionChunk> responseObserver) {
      io.grpc.stub.ClientCalls.asyncServerStreamingCall(
          getChannel().newCall(getFetchVersionMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Tells that the callee runs, or tries the same on another daemon for the asker.
     * </pre>
     */
    public void probe(org.berylwick.proto.ProbeRequest request,
        io.grpc.stub.StreamObserver<org.berylwick.proto.ProbeReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getProbeMethod(), getCallOptions()), request, responseObserver);
    }
  }

  /**
   * A stub to allow clients to do synchronous rpc calls to service Spread.
   * <pre>
   * Between daemons: spreads configuration versions and membership.
   * </pre>
   */
  public static final class SpreadBlockingV2Stub
      extends io.grpc.stub.AbstractBlockingStub<SpreadBlockingV2Stub> {
    private SpreadBlockingV2Stub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected SpreadBlockingV2Stub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new SpreadBlockingV2Stub(channel, callOptions);
    }

    /**
     * <pre>
     * One long-lived stream a pair of daemons; both sides send notices and membership changes.
     * </pre>
     */
    @io.grpc.ExperimentalApi("https://github.com/grpc/grpc-java/issues/10918")
    public io.grpc.stub.BlockingClientCall<org.berylwick.proto.PeerMessage, org.berylwick.proto.PeerMessage>
        exchange() {
      return io.grpc.stub.ClientCalls.blockingBidiStreamingCall(
          getChannel(), getExchangeMethod(), getCallOptions());
    }

    /**
     * <pre>
     * Sends the version in force at the callee, as a delta where it still knows the asker's base.
     * </pre>
     */
    @io.grpc.ExperimentalApi("https://github.com/grpc/grpc-java/issues/10918")
    public io.grpc.stub.BlockingClientCall<?, org.berylwick.proto.VersionChunk>
        fetchVersion(org.berylwick.proto.FetchVersionRequest request) {
      return io.grpc.stub.ClientCalls.blockingV2ServerStreamingCall(
          getChannel(), getFetchVersionMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Tells that the callee runs, or tries the same on another daemon for the asker.
     * </pre>
     */
    public org.berylwick.proto.ProbeReply probe(org.berylwick.proto.ProbeRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getProbeMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do limited synchronous rpc calls to service Spread.
   * <pre>
   * Between daemons: spreads configuration versions and membership.
   * </pre>
   */
  public static final class SpreadBlockingStub
      extends io.grpc.stub.AbstractBlockingStub<SpreadBlockingStub> {
    private SpreadBlockingStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected SpreadBlockingStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new SpreadBlockingStub(channel, callOptions);
    }

    /**
     * <pre>
     * Sends the version in force at the callee, as a delta where it still knows the asker's base.
     * </pre>
     */
    public java.util.Iterator<org.berylwick.proto.VersionChunk> fetchVersion(
        org.berylwick.proto.FetchVersionRequest request) {
      return io.grpc.stub.ClientCalls.blockingServerStreamingCall(
          getChannel(), getFetchVersionMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Tells that the callee runs, or tries the same on another daemon for the asker.
     * </pre>
     */
    public org.berylwick.proto.ProbeReply probe(org.berylwick.proto.ProbeRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getProbeMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do ListenableFuture-style rpc calls to service Spread.
   * <pre>
   * Between daemons: spreads configuration versions and membership.
   * </pre>
   */
  public static final class SpreadFutureStub
      extends io.grpc.stub.AbstractFutureStub<SpreadFutureStub> {
    private SpreadFutureStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected SpreadFutureStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new SpreadFutureStub(channel, callOptions);
    }

    /**
     * <pre>
     * Tells that the callee runs, or tries the same on another daemon for the asker.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.berylwick.proto.ProbeReply> probe(
        org.berylwick.proto.ProbeRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getProbeMethod(), getCallOptions()), request);
    }
  }

  private static final int METHODID_FETCH_VERSION = 0;
  private static final int METHODID_PROBE = 1;
  private static final int METHODID_EXCHANGE = 2;

  private static final class MethodHandlers<Req, Resp> implements
      io.grpc.stub.ServerCalls.UnaryMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.ServerStreamingMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.ClientStreamingMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.BidiStreamingMethod<Req, Resp> {
    private final AsyncService serviceImpl;
    private final int methodId;

    MethodHandlers(AsyncService serviceImpl, int methodId) {
      this.serviceImpl = serviceImpl;
      this.methodId = methodId;
    }

    @java.lang.Override
    @java.lang.SuppressWarnings("unchecked")
    public void invoke(Req request, io.grpc.stub.StreamObserver<Resp> responseObserver) {
      switch (methodId) {
        case METHODID_FETCH_VERSION:
          serviceImpl.fetchVersion((org.berylwick.proto.FetchVersionRequest) request,
              (io.grpc.stub.StreamObserver<org.berylwick.proto.VersionChunk>) responseObserver);
          break;
        case METHODID_PROBE:
          serviceImpl.probe((org.berylwick.proto.ProbeRequest) request,
              (io.grpc.stub.StreamObserver<org.berylwick.proto.ProbeReply>) responseObserver);
          break;
        default:
          throw new AssertionError();
      }
    }

    @java.lang.Override
    @java.lang.SuppressWarnings("unchecked")
    public io.grpc.stub.StreamObserver<Req> invoke(
        io.grpc.stub.StreamObserver<Resp> responseObserver) {
      switch (methodId) {
        case METHODID_EXCHANGE:
          return (io.grpc.stub.StreamObserver<Req>) serviceImpl.exchange(
              (io.grpc.stub.StreamObserver<org.berylwick.proto.PeerMessage>) responseObserver);
        default:
          throw new AssertionError();
      }
    }
  }

  public static final io.grpc.ServerServiceDefinition bindService(AsyncService service) {
    return io.grpc.ServerServiceDefinition.builder(getServiceDescriptor())
        .addMethod(
          getExchangeMethod(),
          io.grpc.stub.ServerCalls.asyncBidiStreamingCall(
            new MethodHandlers<
              org.berylwick.proto.PeerMessage,
              org.berylwick.proto.PeerMessage>(
                service, METHODID_EXCHANGE)))
        .addMethod(
          getFetchVersionMethod(),
          io.grpc.stub.ServerCalls.asyncServerStreamingCall(
            new MethodHandlers<
              org.berylwick.proto.FetchVersionRequest,
              org.berylwick.proto.VersionChunk>(
                service, METHODID_FETCH_VERSION)))
        .addMethod(
          getProbeMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.berylwick.proto.ProbeRequest,
              org.berylwick.proto.ProbeReply>(
                service, METHODID_PROBE)))
        .build();
  }

  private static abstract class SpreadBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoFileDescriptorSupplier, io.grpc.protobuf.ProtoServiceDescriptorSupplier {
    SpreadBaseDescriptorSupplier() {}

    @java.lang.Override
    public com.google.protobuf.Descriptors.FileDescriptor getFileDescriptor() {
      return org.berylwick.proto.SpreadOuterClass.getDescriptor();
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.ServiceDescriptor getServiceDescriptor() {
      return getFileDescriptor().findServiceByName("Spread");
    }
  }

  private static final class SpreadFileDescriptorSupplier
      extends SpreadBaseDescriptorSupplier {
    SpreadFileDescriptorSupplier() {}
  }

  private static final class SpreadMethodDescriptorSupplier
      extends SpreadBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoMethodDescriptorSupplier {
    private final java.lang.String methodName;

    SpreadMethodDescriptorSupplier(java.lang.String methodName) {
      this.methodName = methodName;
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.MethodDescriptor getMethodDescriptor() {
      return getServiceDescriptor().findMethodByName(methodName);
    }
  }

  private static volatile io.grpc.ServiceDescriptor serviceDescriptor;

  public static io.grpc.ServiceDescriptor getServiceDescriptor() {
    io.grpc.ServiceDescriptor result = serviceDescriptor;
    if (result == null) {
      synchronized (SpreadGrpc.class) {
        result = serviceDescriptor;
        if (result == null) {
          serviceDescriptor = result = io.grpc.ServiceDescriptor.newBuilder(SERVICE_NAME)
              .setSchemaDescriptor(new SpreadFileDescriptorSupplier())
              .addMethod(getExchangeMethod())
              .addMethod(getFetchVersionMethod())
              .addMethod(getProbeMethod())
              .build();
        }
      }
    }
    return result;
  }
}
