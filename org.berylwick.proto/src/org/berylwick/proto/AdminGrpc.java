package org.berylwick.proto;

import static io.grpc.MethodDescriptor.generateFullMethodName;

/**
 * <pre>
 * The operators' service. Served on the admin address alone; calls that change
 * anything carry a bearer token in the "authorization" metadata.
 * </pre>
 */
@io.grpc.stub.annotations.GrpcGenerated
public final class AdminGrpc {

  private AdminGrpc() {}

  public static final java.lang.String SERVICE_NAME = "berylwick.v1.Admin";

  // Static method descriptors that strictly reflect the proto.
  private static volatile io.grpc.MethodDescriptor<org.berylwick.proto.ApplyRequest,
      org.berylwick.proto.ApplyReply> getApplyMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Apply",
      requestType = org.berylwick.proto.ApplyRequest.class,
      responseType = org.berylwick.proto.ApplyReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.berylwick.proto.ApplyRequest,
      org.berylwick.proto.ApplyReply> getApplyMethod() {
    io.grpc.MethodDescriptor<org.berylwick.proto.ApplyRequest, org.berylwick.proto.ApplyReply> getApplyMethod;
    if ((getApplyMethod = AdminGrpc.getApplyMethod) == null) {
      synchronized (AdminGrpc.class) {
        if ((getApplyMethod = AdminGrpc.getApplyMethod) == null) {
          AdminGrpc.getApplyMethod = getApplyMethod =
              io.grpc.MethodDescriptor.<org.berylwick.proto.ApplyRequest, org.berylwick.proto.ApplyReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Apply"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.berylwick.proto.ApplyRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.berylwick.proto.ApplyReply.getDefaultInstance()))
              .setSchemaDescriptor(new AdminMethodDescriptorSupplier("Apply"))
              .build();
        }
      }
    }
    return getApplyMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.berylwick.proto.GetConfigurationRequest,
      org.berylwick.proto.GetConfigurationReply> getGetConfigurationMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "GetConfiguration",
      requestType = org.berylwick.proto.GetConfigurationRequest.class,
      responseType = org.berylwick.proto.GetConfigurationReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.berylwick.proto.GetConfigurationRequest,
      org.berylwick.proto.GetConfigurationReply> getGetConfigurationMethod() {
    io.grpc.MethodDescriptor<org.berylwick.proto.GetConfigurationRequest, org.berylwick.proto.GetConfigurationReply> getGetConfigurationMethod;
    if ((getGetConfigurationMethod = AdminGrpc.getGetConfigurationMethod) == null) {
      synchronized (AdminGrpc.class) {
        if ((getGetConfigurationMethod = AdminGrpc.getGetConfigurationMethod) == null) {
          AdminGrpc.getGetConfigurationMethod = getGetConfigurationMethod =
              io.grpc.MethodDescriptor.<org.berylwick.proto.GetConfigurationRequest, org.berylwick.proto.GetConfigurationReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "GetConfiguration"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.berylwick.proto.GetConfigurationRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.berylwick.proto.GetConfigurationReply.getDefaultInstance()))
              .setSchemaDescriptor(new AdminMethodDescriptorSupplier("GetConfiguration"))
              .build();
        }
      }
    }
    return getGetConfigurationMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.berylwick.proto.ListHistoryRequest,
      org.berylwick.proto.ListHistoryReply> getListHistoryMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "ListHistory",
      requestType = org.berylwick.proto.ListHistoryRequest.class,
      responseType = org.berylwick.proto.ListHistoryReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.berylwick.proto.ListHistoryRequest,
      org.berylwick.proto.ListHistoryReply> getListHistoryMethod() {
    io.grpc.MethodDescriptor<org.berylwick.proto.ListHistoryRequest, org.berylwick.proto.ListHistoryReply> getListHistoryMethod;
    if ((getListHistoryMethod = AdminGrpc.getListHistoryMethod) == null) {
      synchronized (AdminGrpc.class) {
        if ((getListHistoryMethod = AdminGrpc.getListHistoryMethod) == null) {
          AdminGrpc.getListHistoryMethod = getListHistoryMethod =
              io.grpc.MethodDescriptor.<org.berylwick.proto.ListHistoryRequest, org.berylwick.proto.ListHistoryReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "ListHistory"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.berylwick.proto.ListHistoryRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.berylwick.proto.ListHistoryReply.getDefaultInstance()))
              .setSchemaDescriptor(new AdminMethodDescriptorSupplier("ListHistory"))
              .build();
        }
      }
    }
    return getListHistoryMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.berylwick.proto.DiffRequest,
      org.berylwick.proto.DiffReply> getDiffMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Diff",
      requestType = org.berylwick.proto.DiffRequest.class,
      responseType = org.berylwick.proto.DiffReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.berylwick.proto.DiffRequest,
      org.berylwick.proto.DiffReply> getDiffMethod() {
    io.grpc.MethodDescriptor<org.berylwick.proto.DiffRequest, org.berylwick.proto.DiffReply> getDiffMethod;
    if ((getDiffMethod = AdminGrpc.getDiffMethod) == null) {
      synchronized (AdminGrpc.class) {
        if ((getDiffMethod = AdminGrpc.getDiffMethod) == null) {
          AdminGrpc.getDiffMethod = getDiffMethod =
              io.grpc.MethodDescriptor.<org.berylwick.proto.DiffRequest, org.berylwick.proto.DiffReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Diff"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.berylwick.proto.DiffRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.berylwick.proto.DiffReply.getDefaultInstance()))
              .setSchemaDescriptor(new AdminMethodDescriptorSupplier("Diff"))
              .build();
        }
      }
    }
    return getDiffMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.berylwick.proto.RollbackRequest,
      org.berylwick.proto.ApplyReply> getRollbackMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Rollback",
      requestType = org.berylwick.proto.RollbackRequest.class,
      responseType = org.berylwick.proto.ApplyReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.berylwick.proto.RollbackRequest,
      org.berylwick.proto.ApplyReply> getRollbackMethod() {
    io.grpc.MethodDescriptor<org.berylwick.proto.RollbackRequest, org.berylwick.proto.ApplyReply> getRollbackMethod;
    if ((getRollbackMethod = AdminGrpc.getRollbackMethod) == null) {
      synchronized (AdminGrpc.class) {
        if ((getRollbackMethod = AdminGrpc.getRollbackMethod) == null) {
          AdminGrpc.getRollbackMethod = getRollbackMethod =
              io.grpc.MethodDescriptor.<org.berylwick.proto.RollbackRequest, org.berylwick.proto.ApplyReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Rollback"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.berylwick.proto.RollbackRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.berylwick.proto.ApplyReply.getDefaultInstance()))
              .setSchemaDescriptor(new AdminMethodDescriptorSupplier("Rollback"))
              .build();
        }
      }
    }
    return getRollbackMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.berylwick.proto.GetStatusRequest,
      org.berylwick.proto.GetStatusReply> getGetStatusMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "GetStatus",
      requestType = org.berylwick.proto.GetStatusRequest.class,
      responseType = org.berylwick.proto.GetStatusReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.berylwick.proto.GetStatusRequest,
      org.berylwick.proto.GetStatusReply> getGetStatusMethod() {
    io.grpc.MethodDescriptor<org.berylwick.proto.GetStatusRequest, org.berylwick.proto.GetStatusReply> getGetStatusMethod;
    if ((getGetStatusMethod = AdminGrpc.getGetStatusMethod) == null) {
      synchronized (AdminGrpc.class) {
        if ((getGetStatusMethod = AdminGrpc.getGetStatusMethod) == null) {
          AdminGrpc.getGetStatusMethod = getGetStatusMethod =
              io.grpc.MethodDescriptor.<org.berylwick.proto.GetStatusRequest, org.berylwick.proto.GetStatusReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "GetStatus"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.berylwick.proto.GetStatusRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.berylwick.proto.GetStatusReply.getDefaultInstance()))
              .setSchemaDescriptor(new AdminMethodDescriptorSupplier("GetStatus"))
              .build();
        }
      }
    }
    return getGetStatusMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.berylwick.proto.ListMembersRequest,
      org.berylwick.proto.ListMembersReply> getListMembersMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "ListMembers",
      requestType = org.berylwick.proto.ListMembersRequest.class,
      responseType = org.berylwick.proto.ListMembersReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.berylwick.proto.ListMembersRequest,
      org.berylwick.proto.ListMembersReply> getListMembersMethod() {
    io.grpc.MethodDescriptor<org.berylwick.proto.ListMembersRequest, org.berylwick.proto.ListMembersReply> getListMembersMethod;
    if ((getListMembersMethod = AdminGrpc.getListMembersMethod) == null) {
      synchronized (AdminGrpc.class) {
        if ((getListMembersMethod = AdminGrpc.getListMembersMethod) == null) {
          AdminGrpc.getListMembersMethod = getListMembersMethod =
              io.grpc.MethodDescriptor.<org.berylwick.proto.ListMembersRequest, org.berylwick.proto.ListMembersReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "ListMembers"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.berylwick.proto.ListMembersRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.berylwick.proto.ListMembersReply.getDefaultInstance()))
              .setSchemaDescriptor(new AdminMethodDescriptorSupplier("ListMembers"))
              .build();
        }
      }
    }
    return getListMembersMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.berylwick.proto.ExplainRouteRequest,
      org.berylwick.proto.ExplainRouteReply> getExplainRouteMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "ExplainRoute",
      requestType = org.berylwick.proto.ExplainRouteRequest.class,
      responseType = org.berylwick.proto.ExplainRouteReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.berylwick.proto.ExplainRouteRequest,
      org.berylwick.proto.ExplainRouteReply> getExplainRouteMethod() {
    io.grpc.MethodDescriptor<org.berylwick.proto.ExplainRouteRequest, org.berylwick.proto.ExplainRouteReply> getExplainRouteMethod;
    if ((getExplainRouteMethod = AdminGrpc.getExplainRouteMethod) == null) {
      synchronized (AdminGrpc.class) {
        if ((getExplainRouteMethod = AdminGrpc.getExplainRouteMethod) == null) {
          AdminGrpc.getExplainRouteMethod = getExplainRouteMethod =
              io.grpc.MethodDescriptor.<org.berylwick.proto.ExplainRouteRequest, org.berylwick.proto.ExplainRouteReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "ExplainRoute"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.berylwick.proto.ExplainRouteRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.berylwick.proto.ExplainRouteReply.getDefaultInstance()))
              .setSchemaDescriptor(new AdminMethodDescriptorSupplier("ExplainRoute"))
              .build();
        }
      }
    }
    return getExplainRouteMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.berylwick.proto.SetDrainRequest,
      org.berylwick.proto.SetDrainReply> getSetDrainMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "SetDrain",
      requestType = org.berylwick.proto.SetDrainRequest.class,
      responseType = org.berylwick.proto.SetDrainReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.berylwick.proto.SetDrainRequest,
      org.berylwick.proto.SetDrainReply> getSetDrainMethod() {
    io.grpc.MethodDescriptor<org.berylwick.proto.SetDrainRequest, org.berylwick.proto.SetDrainReply> getSetDrainMethod;
    if ((getSetDrainMethod = AdminGrpc.getSetDrainMethod) == null) {
      synchronized (AdminGrpc.class) {
        if ((getSetDrainMethod = AdminGrpc.getSetDrainMethod) == null) {
          AdminGrpc.getSetDrainMethod = getSetDrainMethod =
              io.grpc.MethodDescriptor.<org.berylwick.proto.SetDrainRequest, org.berylwick.proto.SetDrainReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "SetDrain"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.berylwick.proto.SetDrainRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.berylwick.proto.SetDrainReply.getDefaultInstance()))
              .setSchemaDescriptor(new AdminMethodDescriptorSupplier("SetDrain"))
              .build();
        }
      }
    }
    return getSetDrainMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.berylwick.proto.ListAuditRequest,
      org.berylwick.proto.ListAuditReply> getListAuditMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "ListAudit",
      requestType = org.berylwick.proto.ListAuditRequest.class,
      responseType = org.berylwick.proto.ListAuditReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.berylwick.proto.ListAuditRequest,
      org.berylwick.proto.ListAuditReply> getListAuditMethod() {
    io.grpc.MethodDescriptor<org.berylwick.proto.ListAuditRequest, org.berylwick.proto.ListAuditReply> getListAuditMethod;
    if ((getListAuditMethod = AdminGrpc.getListAuditMethod) == null) {
      synchronized (AdminGrpc.class) {
        if ((getListAuditMethod = AdminGrpc.getListAuditMethod) == null) {
          AdminGrpc.getListAuditMethod = getListAuditMethod =
              io.grpc.MethodDescriptor.<org.berylwick.proto.ListAuditRequest, org.berylwick.proto.ListAuditReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "ListAudit"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.berylwick.proto.ListAuditRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.berylwick.proto.ListAuditReply.getDefaultInstance()))
              .setSchemaDescriptor(new AdminMethodDescriptorSupplier("ListAudit"))
              .build();
        }
      }
    }
    return getListAuditMethod;
  }

  /**
   * Creates a new async stub that supports all call types for the service
   */
  public static AdminStub newStub(io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<AdminStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<AdminStub>() {
        @java.lang.Override
        public AdminStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new AdminStub(channel, callOptions);
        }
      };
    return AdminStub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports all types of calls on the service
   */
  public static AdminBlockingV2Stub newBlockingV2Stub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<AdminBlockingV2Stub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<AdminBlockingV2Stub>() {
        @java.lang.Override
        public AdminBlockingV2Stub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new AdminBlockingV2Stub(channel, callOptions);
        }
      };
    return AdminBlockingV2Stub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports unary and streaming output calls on the service
   */
  public static AdminBlockingStub newBlockingStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<AdminBlockingStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<AdminBlockingStub>() {
        @java.lang.Override
        public AdminBlockingStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new AdminBlockingStub(channel, callOptions);
        }
      };
    return AdminBlockingStub.newStub(factory, channel);
  }

  /**
   * Creates a new ListenableFuture-style stub that supports unary calls on the service
   */
  public static AdminFutureStub newFutureStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<AdminFutureStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<AdminFutureStub>() {
        @java.lang.Override
        public AdminFutureStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new AdminFutureStub(channel, callOptions);
        }
      };
    return AdminFutureStub.newStub(factory, channel);
  }

  /**
   * <pre>
   * The operators' service. Served on the admin address alone; calls that change
   * anything carry a bearer token in the "authorization" metadata.
   * </pre>
   */
  public interface AsyncService {

    /**
     * <pre>
     * Merges documents on a base version and asks the platform's store to accept the result.
     * </pre>
     */
    default void apply(org.berylwick.proto.ApplyRequest request,
        io.grpc.stub.StreamObserver<org.berylwick.proto.ApplyReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getApplyMethod(), responseObserver);
    }

    /**
     * <pre>
     * Reads the configuration that this daemon holds, or an older version.
     * </pre>
     */
    default void getConfiguration(org.berylwick.proto.GetConfigurationRequest request,
        io.grpc.stub.StreamObserver<org.berylwick.proto.GetConfigurationReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getGetConfigurationMethod(), responseObserver);
    }

    /**
     * <pre>
     * Lists accepted versions, newest first.
     * </pre>
     */
    default void listHistory(org.berylwick.proto.ListHistoryRequest request,
        io.grpc.stub.StreamObserver<org.berylwick.proto.ListHistoryReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getListHistoryMethod(), responseObserver);
    }

    /**
     * <pre>
     * Compares two accepted versions object by object.
     * </pre>
     */
    default void diff(org.berylwick.proto.DiffRequest request,
        io.grpc.stub.StreamObserver<org.berylwick.proto.DiffReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getDiffMethod(), responseObserver);
    }

    /**
     * <pre>
     * Accepts the content of an older version as a new version.
     * </pre>
     */
    default void rollback(org.berylwick.proto.RollbackRequest request,
        io.grpc.stub.StreamObserver<org.berylwick.proto.ApplyReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getRollbackMethod(), responseObserver);
    }

    /**
     * <pre>
     * Tells which version is in force on which daemon.
     * </pre>
     */
    default void getStatus(org.berylwick.proto.GetStatusRequest request,
        io.grpc.stub.StreamObserver<org.berylwick.proto.GetStatusReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getGetStatusMethod(), responseObserver);
    }

    /**
     * <pre>
     * Lists the members this daemon knows.
     * </pre>
     */
    default void listMembers(org.berylwick.proto.ListMembersRequest request,
        io.grpc.stub.StreamObserver<org.berylwick.proto.ListMembersReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getListMembersMethod(), responseObserver);
    }

    /**
     * <pre>
     * Explains which brand, route, policy and members a request would meet.
     * </pre>
     */
    default void explainRoute(org.berylwick.proto.ExplainRouteRequest request,
        io.grpc.stub.StreamObserver<org.berylwick.proto.ExplainRouteReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getExplainRouteMethod(), responseObserver);
    }

    /**
     * <pre>
     * Takes the backend server beside this daemon out of service, or back in.
     * </pre>
     */
    default void setDrain(org.berylwick.proto.SetDrainRequest request,
        io.grpc.stub.StreamObserver<org.berylwick.proto.SetDrainReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getSetDrainMethod(), responseObserver);
    }

    /**
     * <pre>
     * Lists who changed or tried to change what, newest first: accepted changes of the whole system,
     * and the attempts that this daemon itself refused or could not complete since it started.
     * </pre>
     */
    default void listAudit(org.berylwick.proto.ListAuditRequest request,
        io.grpc.stub.StreamObserver<org.berylwick.proto.ListAuditReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getListAuditMethod(), responseObserver);
    }
  }

  /**
   * Base class for the server implementation of the service Admin.
   * <pre>
   * The operators' service. Served on the admin address alone; calls that change
   * anything carry a bearer token in the "authorization" metadata.
   * </pre>
   */
  public static abstract class AdminImplBase
      implements io.grpc.BindableService, AsyncService {

    @java.lang.Override public final io.grpc.ServerServiceDefinition bindService() {
      return AdminGrpc.bindService(this);
    }
  }

  /**
   * A stub to allow clients to do asynchronous rpc calls to service Admin.
   * <pre>
   * The operators' service. Served on the admin address alone; calls that change
   * anything carry a bearer token in the "authorization" metadata.
   * </pre>
   */
  public static final class AdminStub
      extends io.grpc.stub.AbstractAsyncStub<AdminStub> {
    private AdminStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected AdminStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new AdminStub(channel, callOptions);
    }

    /**
     * <pre>
     * Merges documents on a base version and asks the platform's store to accept the result.
     * </pre>
     */
    public void apply(org.berylwick.proto.ApplyRequest request,
        io.grpc.stub.StreamObserver<org.berylwick.proto.ApplyReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getApplyMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Reads the configuration that this daemon holds, or an older version.
     * </pre>
     */
    public void getConfiguration(org.berylwick.proto.GetConfigurationRequest request,
        io.grpc.stub.StreamObserver<org.berylwick.proto.GetConfigurationReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getGetConfigurationMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Lists accepted versions, newest first.
     * </pre>
     */
    public void listHistory(org.berylwick.proto.ListHistoryRequest request,
        io.grpc.stub.StreamObserver<org.berylwick.proto.ListHistoryReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getListHistoryMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Compares two accepted versions object by object.
     * </pre>
     */
    public void diff(org.berylwick.proto.DiffRequest request,
        io.grpc.stub.StreamObserver<org.berylwick.proto.DiffReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getDiffMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Accepts the content of an older version as a new version.
     * </pre>
     */
    public void rollback(org.berylwick.proto.RollbackRequest request,
        io.grpc.stub.StreamObserver<org.berylwick.proto.ApplyReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getRollbackMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Tells which version is in force on which daemon.
     * </pre>
     */
    public void getStatus(org.berylwick.proto.GetStatusRequest request,
        io.grpc.stub.StreamObserver<org.berylwick.proto.GetStatusReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getGetStatusMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Lists the members this daemon knows.
     * </pre>
     */
    public void listMembers(org.berylwick.proto.ListMembersRequest request,
        io.grpc.stub.StreamObserver<org.berylwick.proto.ListMembersReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getListMembersMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Explains which brand, route, policy and members a request would meet.
     * </pre>
     */
    public void explainRoute(org.berylwick.proto.ExplainRouteRequest request,
        io.grpc.stub.StreamObserver<org.berylwick.proto.ExplainRouteReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getExplainRouteMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Takes the backend server beside this daemon out of service, or back in.
     * </pre>
     */
    public void setDrain(org.berylwick.proto.SetDrainRequest request,
        io.grpc.stub.StreamObserver<org.berylwick.proto.SetDrainReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getSetDrainMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Lists who changed or tried to change what, newest first: accepted changes of the whole system,
     * and the attempts that this daemon itself refused or could not complete since it started.
     * </pre>
     */
    public void listAudit(org.berylwick.proto.ListAuditRequest request,
        io.grpc.stub.StreamObserver<org.berylwick.proto.ListAuditReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getListAuditMethod(), getCallOptions()), request, responseObserver);
    }
  }

  /**
   * A stub to allow clients to do synchronous rpc calls to service Admin.
   * <pre>
   * The operators' service. Served on the admin address alone; calls that change
   * anything carry a bearer token in the "authorization" metadata.
   * </pre>
   */
  public static final class AdminBlockingV2Stub
      extends io.grpc.stub.AbstractBlockingStub<AdminBlockingV2Stub> {
    private AdminBlockingV2Stub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected AdminBlockingV2Stub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new AdminBlockingV2Stub(channel, callOptions);
    }

    /**
     * <pre>
     * Merges documents on a base version and asks the platform's store to accept the result.
     * </pre>
     */
    public org.berylwick.proto.ApplyReply apply(org.berylwick.proto.ApplyRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getApplyMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Reads the configuration that this daemon holds, or an older version.
     * </pre>
     */
    public org.berylwick.proto.GetConfigurationReply getConfiguration(org.berylwick.proto.GetConfigurationRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getGetConfigurationMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Lists accepted versions, newest first.
     * </pre>
     */
    public org.berylwick.proto.ListHistoryReply listHistory(org.berylwick.proto.ListHistoryRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getListHistoryMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Compares two accepted versions object by object.
     * </pre>
     */
    public org.berylwick.proto.DiffReply diff(org.berylwick.proto.DiffRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getDiffMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Accepts the content of an older version as a new version.
     * </pre>
     */
    public org.berylwick.proto.ApplyReply rollback(org.berylwick.proto.RollbackRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getRollbackMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Tells which version is in force on which daemon.
     * </pre>
     */
    public org.berylwick.proto.GetStatusReply getStatus(org.berylwick.proto.GetStatusRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getGetStatusMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Lists the members this daemon knows.
     * </pre>
     */
    public org.berylwick.proto.ListMembersReply listMembers(org.berylwick.proto.ListMembersRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getListMembersMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Explains which brand, route, policy and members a request would meet.
     * </pre>
     */
    public org.berylwick.proto.ExplainRouteReply explainRoute(org.berylwick.proto.ExplainRouteRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getExplainRouteMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Takes the backend server beside this daemon out of service, or back in.
     * </pre>
     */
    public org.berylwick.proto.SetDrainReply setDrain(org.berylwick.proto.SetDrainRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getSetDrainMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Lists who changed or tried to change what, newest first: accepted changes of the whole system,
     * and the attempts that this daemon itself refused or could not complete since it started.
     * </pre>
     */
    public org.berylwick.proto.ListAuditReply listAudit(org.berylwick.proto.ListAuditRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getListAuditMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do limited synchronous rpc calls to service Admin.
   * <pre>
   * The operators' service. Served on the admin address alone; calls that change
   * anything carry a bearer token in the "authorization" metadata.
   * </pre>
   */
  public static final class AdminBlockingStub
      extends io.grpc.stub.AbstractBlockingStub<AdminBlockingStub> {
    private AdminBlockingStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected AdminBlockingStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new AdminBlockingStub(channel, callOptions);
    }

    /**
     * <pre>
     * Merges documents on a base version and asks the platform's store to accept the result.
     * </pre>
     */
    public org.berylwick.proto.ApplyReply apply(org.berylwick.proto.ApplyRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getApplyMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Reads the configuration that this daemon holds, or an older version.
     * </pre>
     */
    public org.berylwick.proto.GetConfigurationReply getConfiguration(org.berylwick.proto.GetConfigurationRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getGetConfigurationMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Lists accepted versions, newest first.
     * </pre>
     */
    public org.berylwick.proto.ListHistoryReply listHistory(org.berylwick.proto.ListHistoryRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getListHistoryMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Compares two accepted versions object by object.
     * </pre>
     */
    public org.berylwick.proto.DiffReply diff(org.berylwick.proto.DiffRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getDiffMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Accepts the content of an older version as a new version.
     * </pre>
     */
    public org.berylwick.proto.ApplyReply rollback(org.berylwick.proto.RollbackRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getRollbackMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Tells which version is in force on which daemon.
     * </pre>
     */
    public org.berylwick.proto.GetStatusReply getStatus(org.berylwick.proto.GetStatusRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getGetStatusMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Lists the members this daemon knows.
     * </pre>
     */
    public org.berylwick.proto.ListMembersReply listMembers(org.berylwick.proto.ListMembersRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getListMembersMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Explains which brand, route, policy and members a request would meet.
     * </pre>
     */
    public org.berylwick.proto.ExplainRouteReply explainRoute(org.berylwick.proto.ExplainRouteRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getExplainRouteMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Takes the backend server beside this daemon out of service, or back in.
     * </pre>
     */
    public org.berylwick.proto.SetDrainReply setDrain(org.berylwick.proto.SetDrainRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getSetDrainMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Lists who changed or tried to change what, newest first: accepted changes of the whole system,
     * and the attempts that this daemon itself refused or could not complete since it started.
     * </pre>
     */
    public org.berylwick.proto.ListAuditReply listAudit(org.berylwick.proto.ListAuditRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getListAuditMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do ListenableFuture-style rpc calls to service Admin.
   * <pre>
   * The operators' service. Served on the admin address alone; calls that change
   * anything carry a bearer token in the "authorization" metadata.
   * </pre>
   */
  public static final class AdminFutureStub
      extends io.grpc.stub.AbstractFutureStub<AdminFutureStub> {
    private AdminFutureStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected AdminFutureStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new AdminFutureStub(channel, callOptions);
    }

    /**
     * <pre>
     * Merges documents on a base version and asks the platform's store to accept the result.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.berylwick.proto.ApplyReply> apply(
        org.berylwick.proto.ApplyRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getApplyMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Reads the configuration that this daemon holds, or an older version.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.berylwick.proto.GetConfigurationReply> getConfiguration(
        org.berylwick.proto.GetConfigurationRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getGetConfigurationMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Lists accepted versions, newest first.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.berylwick.proto.ListHistoryReply> listHistory(
        org.berylwick.proto.ListHistoryRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getListHistoryMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Compares two accepted versions object by object.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.berylwick.proto.DiffReply> diff(
        org.berylwick.proto.DiffRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getDiffMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Accepts the content of an older version as a new version.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.berylwick.proto.ApplyReply> rollback(
        org.berylwick.proto.RollbackRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getRollbackMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Tells which version is in force on which daemon.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.berylwick.proto.GetStatusReply> getStatus(
        org.berylwick.proto.GetStatusRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getGetStatusMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Lists the members this daemon knows.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.berylwick.proto.ListMembersReply> listMembers(
        org.berylwick.proto.ListMembersRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getListMembersMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Explains which brand, route, policy and members a request would meet.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.berylwick.proto.ExplainRouteReply> explainRoute(
        org.berylwick.proto.ExplainRouteRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getExplainRouteMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Takes the backend server beside this daemon out of service, or back in.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.berylwick.proto.SetDrainReply> setDrain(
        org.berylwick.proto.SetDrainRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getSetDrainMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Lists who changed or tried to change what, newest first: accepted changes of the whole system,
     * and the attempts that this daemon itself refused or could not complete since it started.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.berylwick.proto.ListAuditReply> listAudit(
        org.berylwick.proto.ListAuditRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getListAuditMethod(), getCallOptions()), request);
    }
  }

  private static final int METHODID_APPLY = 0;
  private static final int METHODID_GET_CONFIGURATION = 1;
  private static final int METHODID_LIST_HISTORY = 2;
  private static final int METHODID_DIFF = 3;
  private static final int METHODID_ROLLBACK = 4;
  private static final int METHODID_GET_STATUS = 5;
  private static final int METHODID_LIST_MEMBERS = 6;
  private static final int METHODID_EXPLAIN_ROUTE = 7;
  private static final int METHODID_SET_DRAIN = 8;
  private static final int METHODID_LIST_AUDIT = 9;

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
        case METHODID_APPLY:
          serviceImpl.apply((org.berylwick.proto.ApplyRequest) request,
              (io.grpc.stub.StreamObserver<org.berylwick.proto.ApplyReply>) responseObserver);
          break;
        case METHODID_GET_CONFIGURATION:
          serviceImpl.getConfiguration((org.berylwick.proto.GetConfigurationRequest) request,
              (io.grpc.stub.StreamObserver<org.berylwick.proto.GetConfigurationReply>) responseObserver);
          break;
        case METHODID_LIST_HISTORY:
          serviceImpl.listHistory((org.berylwick.proto.ListHistoryRequest) request,
              (io.grpc.stub.StreamObserver<org.berylwick.proto.ListHistoryReply>) responseObserver);
          break;
        case METHODID_DIFF:
          serviceImpl.diff((org.berylwick.proto.DiffRequest) request,
              (io.grpc.stub.StreamObserver<org.berylwick.proto.DiffReply>) responseObserver);
          break;
        case METHODID_ROLLBACK:
          serviceImpl.rollback((org.berylwick.proto.RollbackRequest) request,
              (io.grpc.stub.StreamObserver<org.berylwick.proto.ApplyReply>) responseObserver);
          break;
        case METHODID_GET_STATUS:
          serviceImpl.getStatus((org.berylwick.proto.GetStatusRequest) request,
              (io.grpc.stub.StreamObserver<org.berylwick.proto.GetStatusReply>) responseObserver);
          break;
        case METHODID_LIST_MEMBERS:
          serviceImpl.listMembers((org.berylwick.proto.ListMembersRequest) request,
              (io.grpc.stub.StreamObserver<org.berylwick.proto.ListMembersReply>) responseObserver);
          break;
        case METHODID_EXPLAIN_ROUTE:
          serviceImpl.explainRoute((org.berylwick.proto.ExplainRouteRequest) request,
              (io.grpc.stub.StreamObserver<org.berylwick.proto.ExplainRouteReply>) responseObserver);
          break;
        case METHODID_SET_DRAIN:
          serviceImpl.setDrain((org.berylwick.proto.SetDrainRequest) request,
              (io.grpc.stub.StreamObserver<org.berylwick.proto.SetDrainReply>) responseObserver);
          break;
        case METHODID_LIST_AUDIT:
          serviceImpl.listAudit((org.berylwick.proto.ListAuditRequest) request,
              (io.grpc.stub.StreamObserver<org.berylwick.proto.ListAuditReply>) responseObserver);
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
        default:
          throw new AssertionError();
      }
    }
  }

  public static final io.grpc.ServerServiceDefinition bindService(AsyncService service) {
    return io.grpc.ServerServiceDefinition.builder(getServiceDescriptor())
        .addMethod(
          getApplyMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.berylwick.proto.ApplyRequest,
              org.berylwick.proto.ApplyReply>(
                service, METHODID_APPLY)))
        .addMethod(
          getGetConfigurationMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.berylwick.proto.GetConfigurationRequest,
              org.berylwick.proto.GetConfigurationReply>(
                service, METHODID_GET_CONFIGURATION)))
        .addMethod(
          getListHistoryMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.berylwick.proto.ListHistoryRequest,
              org.berylwick.proto.ListHistoryReply>(
                service, METHODID_LIST_HISTORY)))
        .addMethod(
          getDiffMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.berylwick.proto.DiffRequest,
              org.berylwick.proto.DiffReply>(
                service, METHODID_DIFF)))
        .addMethod(
          getRollbackMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.berylwick.proto.RollbackRequest,
              org.berylwick.proto.ApplyReply>(
                service, METHODID_ROLLBACK)))
        .addMethod(
          getGetStatusMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.berylwick.proto.GetStatusRequest,
              org.berylwick.proto.GetStatusReply>(
                service, METHODID_GET_STATUS)))
        .addMethod(
          getListMembersMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.berylwick.proto.ListMembersRequest,
              org.berylwick.proto.ListMembersReply>(
                service, METHODID_LIST_MEMBERS)))
        .addMethod(
          getExplainRouteMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.berylwick.proto.ExplainRouteRequest,
              org.berylwick.proto.ExplainRouteReply>(
                service, METHODID_EXPLAIN_ROUTE)))
        .addMethod(
          getSetDrainMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.berylwick.proto.SetDrainRequest,
              org.berylwick.proto.SetDrainReply>(
                service, METHODID_SET_DRAIN)))
        .addMethod(
          getListAuditMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.berylwick.proto.ListAuditRequest,
              org.berylwick.proto.ListAuditReply>(
                service, METHODID_LIST_AUDIT)))
        .build();
  }

  private static abstract class AdminBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoFileDescriptorSupplier, io.grpc.protobuf.ProtoServiceDescriptorSupplier {
    AdminBaseDescriptorSupplier() {}

    @java.lang.Override
    public com.google.protobuf.Descriptors.FileDescriptor getFileDescriptor() {
      return org.berylwick.proto.AdminOuterClass.getDescriptor();
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.ServiceDescriptor getServiceDescriptor() {
      return getFileDescriptor().findServiceByName("Admin");
    }
  }

  private static final class AdminFileDescriptorSupplier
      extends AdminBaseDescriptorSupplier {
    AdminFileDescriptorSupplier() {}
  }

  private static final class AdminMethodDescriptorSupplier
      extends AdminBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoMethodDescriptorSupplier {
    private final java.lang.String methodName;

    AdminMethodDescriptorSupplier(java.lang.String methodName) {
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
      synchronized (AdminGrpc.class) {
        result = serviceDescriptor;
        if (result == null) {
          serviceDescriptor = result = io.grpc.ServiceDescriptor.newBuilder(SERVICE_NAME)
              .setSchemaDescriptor(new AdminFileDescriptorSupplier())
              .addMethod(getApplyMethod())
              .addMethod(getGetConfigurationMethod())
              .addMethod(getListHistoryMethod())
              .addMethod(getDiffMethod())
              .addMethod(getRollbackMethod())
              .addMethod(getGetStatusMethod())
              .addMethod(getListMembersMethod())
              .addMethod(getExplainRouteMethod())
              .addMethod(getSetDrainMethod())
              .addMethod(getListAuditMethod())
              .build();
        }
      }
    }
    return result;
  }
}
