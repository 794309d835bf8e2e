@0xd5b6f9a3c1e84027;
# Frames between entry instances. Field names are those of the attrs classes in
# messages.py; the codec maps one to the other by name.

struct Resources {
  cpuMillis @0 :Int64;
  memoryMib @1 :Int64;
  accelerators @2 :Int64;
  slots @3 :Int64;
}

struct RunRequest {
  requestId @0 :Text;
  service @1 :Text;
  team @2 :Text;
  keyName @3 :Text;
  body @4 :Data;
  remainingMs @5 :Int64;
  idempotent @6 :Bool;
  shard @7 :Text;
}

struct RunReply {
  status @0 :Int32;
  body @1 :Data;
  backendId @2 :Text;
}

struct ServiceSlots {
  service @0 :Text;
  free @1 :Int32;
}

struct DispatchSummary {
  shard @0 :Text;
  owner @1 :Text;
  epoch @2 :Int64;
  freeSlots @3 :List(ServiceSlots);
  queued @4 :Int32;
}

struct TaskSummary {
  shard @0 :Text;
  owner @1 :Text;
  epoch @2 :Int64;
  total @3 :Resources;
  free @4 :Resources;
  queued @5 :Int32;
}

struct InstanceSummary {
  instanceId @0 :Text;
  zone @1 :Text;
  configVersion @2 :Int64;
}

struct Attest {
  scope @0 :Text;
  members @1 :List(Text);
}

struct PromiseReply {
  refusal @0 :Text;
  # Empty if the promise is made.
  configVersion @1 :Int64;
}

struct AcknowledgeNewcomer {
  instanceId @0 :Text;
  zone @1 :Text;
}

struct JobAssigned {
  jobId @0 :Text;
  shard @1 :Text;
}

struct GetTasks {
  shard @0 :Text;
  jobId @1 :Text;
}

struct TaskStatus {
  jobId @0 :Text;
  index @1 :Int32;
  state @2 :Text;
  reason @3 :Text;
  workerId @4 :Text;
}

struct Detail {
  name @0 :Text;
  value @1 :Text;
}

struct Failure {
  code @0 :Text;
  message @1 :Text;
  details @2 :List(Detail);
}

struct Frame {
  correlation @0 :UInt64;
  # Zero for a message that expects no reply.
  union {
    hello @1 :Text;
    runRequest @2 :RunRequest;
    runReply @3 :RunReply;
    dispatchSummary @4 :DispatchSummary;
    taskSummary @5 :TaskSummary;
    jobAssigned @6 :JobAssigned;
    configPushed @7 :Int64;
    getTasks @8 :GetTasks;
    tasks @9 :List(TaskStatus);
    failure @10 :Failure;
    done @11 :Void;
    instanceSummary @12 :InstanceSummary;
    attest @13 :Attest;
    promiseReply @14 :PromiseReply;
    acknowledgeNewcomer @15 :AcknowledgeNewcomer;
    acknowledged @16 :Bool;
  }
}
