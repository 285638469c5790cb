@0xd3f1a5b7c9e02468;

# The messages between gentianmux processes: one Envelope a frame.

struct Hello {
  version @0 :UInt16;
  process @1 :Text;
  role @2 :Text;
  address @3 :Text;
}

struct Submit {
  key @0 :Text;
  member @1 :Text;
  service @2 :Text;
  body @3 :Data;
  digest @4 :Data;
  submittedMs @5 :Int64;
  deadlineMs @6 :Int64;
  idempotent @7 :Bool;
  wait @8 :Bool;
  request @9 :UInt64;
}

struct Answer {
  key @0 :Text;
  code @1 :UInt16;
  detail @2 :Text;
  retryAfterMs @3 :UInt32;
  final @4 :Bool;
  body @5 :Data;
  request @6 :UInt64;
}

struct Query {
  key @0 :Text;
  wait @1 :Bool;
  request @2 :UInt64;
}

struct Cancel {
  key @0 :Text;
  request @1 :UInt64;
}

struct Explain {
  key @0 :Text;
  request @1 :UInt64;
}

struct Task {
  number @0 :UInt16;
  attempt @1 :UInt16;
  payload @2 :Text;
  sizeMs @3 :UInt32;
}

struct StartBatch {
  key @0 :Text;
  shard @1 :UInt32;
  epoch @2 :Int64;
  member @3 :Text;
  service @4 :Text;
  deadlineMs @5 :Int64;
  submittedMs @6 :Int64;
  eager @7 :Bool;
  tasks @8 :List(Task);
  how @9 :UInt8;
  offer @10 :UInt32;
}

struct Reserve {
  key @0 :Text;
  epoch @1 :Int64;
  member @2 :Text;
  service @3 :Text;
  slots @4 :UInt16;
  sizeMs @5 :UInt32;
}

struct Offer {
  key @0 :Text;
  number @1 :UInt32;
}

struct Decline {
  number @0 :UInt32;
}

struct TaskResult {
  number @0 :UInt16;
  attempt @1 :UInt16;
  code @2 :UInt16;
  output @3 :Text;
  queuedMs @4 :Float32;
  ranMs @5 :Float32;
}

struct ResultBatch {
  key @0 :Text;
  epoch @1 :Int64;
  load @2 :UInt32;
  results @3 :List(TaskResult);
}

struct Revoke {
  keys @0 :List(Text);
}

struct ShardLease {
  shard @0 :UInt32;
  base @1 :Int64;
}

struct LeaseRequest {
  process @0 :Text;
  sent @1 :Float64;
  shards @2 :List(ShardLease);
}

struct LeaseGrant {
  process @0 :Text;
  sent @1 :Float64;
  shards @2 :List(ShardLease);
}

struct TraceQuery {
  query @0 :UInt64;
  shard @1 :UInt32;
  epoch @2 :Int64;
  keys @3 :List(Text);
}

struct Trace {
  key @0 :Text;
  running @1 :List(UInt16);
  results @2 :List(TaskResult);
}

struct TraceReply {
  query @0 :UInt64;
  process @1 :Text;
  forgottenMs @2 :Int64;
  traces @3 :List(Trace);
}

struct LedgerEntry {
  key @0 :Text;
  digest @1 :Data;
  submittedMs @2 :Int64;
  code @3 :UInt16;
  answer @4 :Data;
}

struct LedgerHandover {
  shard @0 :UInt32;
  base @1 :Int64;
  process @2 :Text;
  horizonMs @3 :Int64;
  takenOverMs @4 :Int64;
  timelessLost @5 :Bool;
  last @6 :Bool;
  entries @7 :List(LedgerEntry);
  fingerprints @8 :List(UInt64);
  move @9 :UInt32;
}

struct HandoverReply {
  shard @0 :UInt32;
  base @1 :Int64;
  taken @2 :Bool;
  move @3 :UInt32;
}

struct Farewell {
  process @0 :Text;
}

struct FarewellReply {
  process @0 :Text;
}

struct MemberUpdate {
  process @0 :Text;
  name @1 :Text;
  role @2 :Text;
  address @3 :Text;
  http @4 :Text;
  failureDomain @5 :Text;
  services @6 :List(Text);
  slots @7 :UInt16;
  state @8 :UInt8;
  counter @9 :UInt32;
}

struct Gossip {
  kind @0 :UInt8;
  seq @1 :UInt32;
  sender @2 :Text;
  target @3 :Text;
  configVersion @4 :Int64;
  updates @5 :List(MemberUpdate);
  fleetVersion @6 :Int64;
}

struct EndedJob {
  key @0 :Text;
  shard @1 :UInt32;
  epoch @2 :Int64;
  seenMs @3 :Int64;
  results @4 :List(TaskResult);
}

struct RecordsHandover {
  process @0 :Text;
  forgottenMs @1 :Int64;
  last @2 :Bool;
  jobs @3 :List(EndedJob);
}

struct RecordsReply {
  process @0 :Text;
}

struct StatePull {
  stream @0 :Text;
  version @1 :Int64;
}

struct LogRecord {
  offset @0 :Int64;
  data @1 :Text;
}

struct StateBody {
  stream @0 :Text;
  version @1 :Int64;
  snapshot @2 :Text;
  records @3 :List(LogRecord);
}

struct LeasedTask {
  name @0 :Text;
  run @1 :Int64;
  payload @2 :UInt32;
  cpu @3 :Int64;
  memMb @4 :Int64;
  gpu @5 :Int64;
  estimateMs @6 :Int64;
  levelPermille @7 :UInt32;
}

struct Assign {
  echo @0 :Int64;
  number @1 :Int64;
  tasks @2 :List(LeasedTask);
  claims @3 :List(Claim);
  payloads @4 :List(Data);
}

struct RunRef {
  task @0 :Text;
  run @1 :Int64;
}

struct Withdraw {
  runs @0 :List(RunRef);
}

struct EndedRun {
  number @0 :Int64;
  task @1 :Text;
  run @2 :Int64;
  how @3 :UInt16;
  ranMs @4 :Int64;
}

struct EndedRuns {
  runs @0 :List(EndedRun);
}

struct Holding {
  applied @0 :Int64;
  runs @1 :List(RunRef);
}

struct AgentLoad {
  number @0 :Int64;
  applied @1 :Int64;
  cpu @2 :Int64;
  memMb @3 :Int64;
  gpu @4 :Int64;
  slownessPercent @5 :Int64;
  configVersion @6 :Int64;
  entries @7 :Int64;
  longestMs @8 :Int64;
  sharePermille @9 :Int64;
}

struct LoadEcho {
  number @0 :Int64;
  configVersion @1 :Int64;
  givesBack @2 :Bool;
  claims @3 :List(Claim);
  seen @4 :Int64;
  readsStore @5 :Bool;
}

struct Claim {
  cpu @0 :Int64;
  memMb @1 :Int64;
  gpu @2 :Int64;
  leastCpu @3 :Int64;
  late @4 :Bool;
  begun @5 :Bool;
  priority @6 :Int64;
  beginInMs @7 :Int64;
}

struct EndpointState {
  endpoint @0 :Text;
  service @1 :Text;
  failureDomain @2 :Text;
  cpu @3 :Int64;
  memMb @4 :Int64;
  gpu @5 :Int64;
  labels @6 :List(Text);
  accepting @7 :Bool;
  born @8 :Int64;
}

struct ConfigWanted {
  version @0 :Int64;
  offset @1 :Int64;
}

struct Evacuated {
  position @0 :Int64;
  failureDomains @1 :List(Text);
}

struct Cancelled {
  number @0 :Int64;
  jobIds @1 :List(Text);
}

struct CancelledSeen {
  number @0 :Int64;
}

struct LockRequest {
  jobId @0 :Text;
  holdMs @1 :Int64;
}

struct LockJobs {
  number @0 :Int64;
  requests @1 :List(LockRequest);
  released @2 :List(Text);
}

struct LockDenial {
  position @0 :Int64;
  retryMs @1 :Int64;
}

struct JobsLocked {
  number @0 :Int64;
  denials @1 :List(LockDenial);
  abstains @2 :Bool;
  viewVersion @3 :Int64;
  viewAgeMs @4 :Int64;
}

struct LocksHeld {
  requests @0 :List(LockRequest);
  ageMs @1 :Int64;
  predecessor @2 :Int64;
  leaves @3 :Bool;
}

struct EntriesKnown {
  version @0 :Int64;
  settled @1 :List(Text);
  target @2 :List(Text);
  names @3 :List(Text);
  addresses @4 :List(Text);
}

struct ConfigPiece {
  version @0 :Int64;
  offset @1 :Int64;
  size @2 :Int64;
  body @3 :Data;
}

struct Envelope {
  union {
    hello @0 :Hello;
    submit @1 :Submit;
    answer @2 :Answer;
    query @3 :Query;
    cancel @4 :Cancel;
    startBatch @5 :StartBatch;
    resultBatch @6 :ResultBatch;
    revoke @7 :Revoke;
    leaseRequest @8 :LeaseRequest;
    leaseGrant @9 :LeaseGrant;
    traceQuery @10 :TraceQuery;
    traceReply @11 :TraceReply;
    ledgerHandover @12 :LedgerHandover;
    handoverReply @13 :HandoverReply;
    gossip @14 :Gossip;
    farewell @15 :Farewell;
    farewellReply @16 :FarewellReply;
    statePull @17 :StatePull;
    stateBody @18 :StateBody;
    recordsHandover @19 :RecordsHandover;
    recordsReply @20 :RecordsReply;
    reserve @21 :Reserve;
    offer @22 :Offer;
    decline @23 :Decline;
    explain @24 :Explain;
    assign @25 :Assign;
    withdraw @26 :Withdraw;
    endedRuns @27 :EndedRuns;
    unused28 @28 :Void;
    holding @29 :Holding;
    agentLoad @30 :AgentLoad;
    loadEcho @31 :LoadEcho;
    endpointState @32 :EndpointState;
    configWanted @33 :ConfigWanted;
    configPiece @34 :ConfigPiece;
    evacuated @35 :Evacuated;
    cancelled @36 :Cancelled;
    cancelledSeen @37 :CancelledSeen;
    unused38 @38 :Void;
    unused39 @39 :Void;
    lockJobs @40 :LockJobs;
    jobsLocked @41 :JobsLocked;
    entriesKnown @42 :EntriesKnown;
    locksHeld @43 :LocksHeld;
  }
}
