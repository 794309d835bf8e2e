@0xd5b6f9a3c1e84027;
# Frames between entry instances. Field names are those of the attrs classes in
# messages/; the codec maps one to the other by name.

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

struct RowId {
  table @0 :Text;
  part @1 :Text;
  key @2 :Text;
}

struct StoredRow {
  row @0 :RowId;
  value @1 :Data;
  version @2 :Int64;
  deleted @3 :Bool;
}

struct RowCheck {
  row @0 :RowId;
  version @1 :Int64;
}

struct RowWrite {
  row @0 :RowId;
  value @1 :Data;
  remove @2 :Bool;
}

struct CommitRows {
  checks @0 :List(RowCheck);
  writes @1 :List(RowWrite);
}

struct RowsCommitted {
  version @0 :Int64;
}

struct ReadRows {
  table @0 :Text;
  part @1 :Text;
  first @2 :Text;
  limit @3 :Int32;
  timeoutMs @4 :Int32;
  acceptsTransfer @5 :Bool;
}

struct WatchRows {
  table @0 :Text;
  after @1 :Int64;
  waitMs @2 :Int32;
  acceptsTransfer @3 :Bool;
}

struct PageTransfer {
  transferId @0 :Int64;
}

struct FetchPart {
  transferId @0 :Int64;
  index @1 :Int32;
  waitMs @2 :Int32;
}

struct PagePart {
  page @0 :RowsPage;
  count @1 :Int32;
  arrivals @2 :Int32;
}

struct RowsPage {
  rows @0 :List(StoredRow);
  version @1 :Int64;
  more @2 :Bool;
}

struct RowsDiffer {
  rows @0 :List(StoredRow);
}

struct Step {
  count @0 :Int32;
  resources @1 :Resources;
  estimateMs @2 :Int64;
  after @3 :List(Int32);
  gang @4 :Bool;
  sameRack @5 :Bool;
  requiredLabel @6 :Text;
  dataRack @7 :Text;
  maxPerWorker @8 :Int32;
  speculative @9 :Bool;
  longRunning @10 :Bool;
  checkpoints @11 :Bool;
  image @12 :Text;
  latencyTargetMs @13 :Int64;
  usesSpare @14 :Bool;
  maxUnavailable @15 :Int32;
}

struct Schedule {
  times @0 :Int32;
  firstUnixMs @1 :Int64;
  intervalMs @2 :Int64;
}

struct StepJob {
  jobId @0 :Text;
  queue @1 :Text;
  team @2 :Text;
  payload @3 :Text;
  steps @4 :List(Step);
  schedule @5 :Schedule;
  acceptedUnixMs @6 :Int64;
}

struct SubmitStepJob {
  job @0 :StepJob;
  configVersion @1 :Int64;
  expiresClockMs @2 :Int64;
}

struct StepJobAccepted {
  created @0 :Bool;
}

struct JobId {
  jobId @0 :Text;
}

struct JobCancellation {
  jobId @0 :Text;
  team @1 :Text;
}

struct StepJobShown {
  state @0 :Text;
  team @1 :Text;
}

struct CountPending {
  queue @0 :Text;
  configVersion @1 :Int64;
}

struct PendingCount {
  count @0 :Int64;
}

struct LeaderBeat {
  epoch @0 :Int64;
  leaderId @1 :Text;
  clockMs @2 :Int64;
  confirmedAgeMs @3 :Int64;
}

struct LeaderLeft {
  epoch @0 :Int64;
}

struct AskLeaderAge {
  unused @0 :Void;
}

struct LeaderAge {
  epoch @0 :Int64;
  ageMs @1 :Int64;
}

struct AdvisedWorker {
  workerId @0 :Text;
  ticket @1 :Text;
}

struct StepAdvice {
  workers @0 :List(AdvisedWorker);
  validMs @1 :Int64;
}

struct RequestAdvice {
  jobId @0 :Text;
  occurrence @1 :Int32;
  step @2 :Int32;
  workerIds @3 :List(Text);
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
    commitRows @17 :CommitRows;
    rowsCommitted @18 :RowsCommitted;
    readRows @19 :ReadRows;
    watchRows @20 :WatchRows;
    rowsPage @21 :RowsPage;
    rowsDiffer @22 :RowsDiffer;
    submitStepJob @23 :SubmitStepJob;
    stepJobAccepted @24 :StepJobAccepted;
    getStepJob @25 :JobId;
    cancelStepJob @26 :JobCancellation;
    stepJobShown @27 :StepJobShown;
    countPending @28 :CountPending;
    pendingCount @29 :PendingCount;
    leaderBeat @30 :LeaderBeat;
    leaderLeft @31 :LeaderLeft;
    askLeaderAge @32 :AskLeaderAge;
    leaderAge @33 :LeaderAge;
    stepAdvice @34 :StepAdvice;
    requestAdvice @35 :RequestAdvice;
    pageTransfer @36 :PageTransfer;
    fetchPart @37 :FetchPart;
    pagePart @38 :PagePart;
  }
}
