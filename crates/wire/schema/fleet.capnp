@0xb7c1a95e4f20d683;
# What entry VMs tell each other where nobody lists them: who is there, and the newest manifest and
# list of runners. The network between them is closed to others, so there is no handshake.

interface Fleet {
  tell @0 (view :View) -> ();
  # Takes the caller's view. The return says that it was taken; an answer comes as a call the other
  # way.
  claim @1 (claim :Claim) -> ();
  # Takes the caller's claim at the engines that the receiver allocates. Grants come as calls the other
  # way.
  grant @2 (batch :Batch) -> ();
  # Takes grants of the caller.
  recordOrigins @3 (records :List(OriginRecord)) -> ();
  # Takes where streams began.
  findOrigin @4 (stream :UInt64, endpoint :Text, asksEngines :Bool, part :UInt64, asksSession :Bool) -> (answer :OriginAnswer);
  # Says where a stream began, by the number of the stream (0 if the caller did not name it) and the
  # endpoint at which it is to go on; or, if the engines are to be asked, by the last part of its prompt;
  # or where the last request of a session ran, by that part.
  askPermit @5 (runner :Text, born :UInt64, vm :Text, peerAddress :Text) -> ();
  # Asks for a permit for a request to a runner that names a limit. It comes as a call the other way.
  permit @6 (runner :Text, born :UInt64, isReturned :Bool) -> ();
  # Takes a permit for a request to a runner, or takes back one that the receiver has issued.
  askCredit @7 (peerAddress :Text, entries :List(CreditEntry)) -> ();
  # Asks for the cost of requests of organisations with a cap, and reports what the caller has spent. Answers
  # come as a call the other way. Without entries it only shows that the receiver responds.
  credit @8 (answers :List(CreditAnswer)) -> ();
  # Takes answers to what the receiver has asked.
  reportLoad @9 (report :LoadReport) -> (admission :Admission);
  # Takes what the caller sees of a plain endpoint that the receiver monitors, and says what to admit.
  tellAdmission @10 (endpoint :Text, admission :Admission) -> ();
  # Says what to admit to a plain endpoint. While that is not all, the receiver reports.
}

enum Standing {
  joining @0;
  ready @1;
  leaving @2;
  down @3;
}

struct Member {
  vm @0 :Text;
  incarnation @1 :UInt64;
  version @2 :UInt64;
  zone @3 :Text;
  callerAddress @4 :Text;
  peerAddress @5 :Text;
  standing @6 :Standing;
  weight @7 :UInt32;
  # How much it can do compared to others.
}

enum Role {
  plain @0;
  prefill @1;
  decode @2;
}

struct Runner {
  name @0 :Text;
  endpoint @1 :Text;
  address @2 :Text;
  zone @3 :Text;
  slots @4 :UInt32;
  draining @5 :Bool;
  role @6 :Role;
  born @7 :UInt64;
  revision @8 :UInt64;
  build @9 :Text;
  # Software version.
  era @10 :UInt16;
  # Of the configuration service, to which the revision belongs; 0 if unknown.
}

struct Load {
  # Work under way at a runner.
  runner @0 :Text;
  requests @1 :UInt32;
  tokens @2 :UInt64;
  unread @3 :UInt64;
  slowdown @4 :UInt16;
  # The last one that the runner reported, in percent; 0 for none. Only claims have it and what follows.
  slowdownAgeMillis @5 :UInt16;
  unitNanos @6 :UInt32;
  # Mean time of a unit of work that the sender has observed since its last claim.
  samples @7 :UInt32;
  # Number of observations that it is the mean of; 0 for none.
}

struct View {
  from @0 :Member;
  members @1 :List(Member);
  version @2 :UInt64;
  # Version of the sender's manifest; 0 for none.
  manifest @3 :Data;
  # The manifest as the configuration service holds it; empty where the receiver has it.
  revision @4 :UInt64;
  # Position of the sender's list of runners.
  hasRunners @5 :Bool;
  runners @6 :List(Runner);
  asks @7 :Bool;
  loads @8 :List(Load);
  # All work of the sender at engines.
  sourceReached @9 :Bool;
  waiting @10 :UInt32;
  changed @11 :UInt64;
  # Position of the last change of the list of runners that the sender knows.
  digest @12 :UInt64;
  # Of the quarantined parts and the limits that the sender knows.
  hasCrashes @13 :Bool;
  crashes @14 :List(Crash);
  parts @15 :List(Part);
  limits @16 :List(Limit);
  unreached @17 :List(Text);
  # Endpoints of which the sender reaches no runner, or none of a stage.
  reached @18 :List(Text);
  # Endpoints which some VM does not reach, and of which the sender has just reached a runner of each stage.
  departureDigest @19 :UInt64;
  # Of the runners of which the sender knows that they leave.
  departures @20 :List(Departure);
  slowdowns @21 :Bool;
  # Whether a runner has told the sender its slowdown.
  revisionEra @22 :UInt16;
  # Era of the configuration service to which `revision` belongs; 0 if unknown.
  changedEra @23 :UInt16;
  # The same of `changed`.
  wish @24 :ManifestWish;
  # Whether the sender takes a manifest that is newer than its own.
}

enum ManifestWish {
  always @0;
  notNow @1;
  reply @2;
}

struct Departure {
  # A runner that has said that it leaves.
  runner @0 :Text;
  born @1 :UInt64;
  ageMillis @2 :UInt32;
}

struct Limit {
  # How many requests a second a runner takes from all VMs together.
  runner @0 :Text;
  born @1 :UInt64;
  rate @2 :Float64;
  # 0 if it has stopped to name one.
  ageMillis @3 :UInt32;
}

struct Suspect {
  # A part of the prompt of a request that a runner had when it crashed, or the request.
  part @0 :UInt64;
  position @1 :UInt32;
  wasSound @2 :Bool;
  isRequest @3 :Bool;
  # Whether it is the fingerprint of a request.
  heldMillis @4 :UInt32;
  # How long the runner had had it.
  wasProven @5 :Bool;
  # Whether a request with it is known to be sound.
}

struct Crash {
  # A runner that has ended.
  runner @0 :Text;
  born @1 :UInt64;
  ageMillis @2 :UInt32;
  suspects @3 :List(Suspect);
  lateSuspects @4 :List(Suspect);
  # The same, where the responses had gone on for a moment.
}

struct Part {
  # What is known of a part of prompts, or of a request.
  part @0 :UInt64;
  isSound @1 :Bool;
  # Whether a response to a prompt with it went on for a moment.
  soundMillis @2 :UInt32;
  # How long ago.
  generation @3 :UInt32;
  # Of its quarantine; 0 for none.
  isHeld @4 :Bool;
  heldMillis @5 :UInt32;
  wasSound @6 :Bool;
  isRequest @7 :Bool;
  # Whether it is the fingerprint of a request.
  isProven @8 :Bool;
  # Whether a request with it is known to be sound: its response ended, or went on for long.
  provenMillis @9 :UInt32;
  # How long ago.
}

enum Urgency {
  started @0;
  inTime @1;
  late @2;
}

struct Ask {
  # A call that needs capacity.
  call @0 :UInt64;
  endpoint @1 :Text;
  tokens @2 :UInt64;
  # KV memory at its decode runner.
  prefillTokens @3 :UInt64;
  group @4 :UInt32;
  groups @5 :UInt32;
  urgency @6 :Urgency;
  slackMillis @7 :UInt32;
  # Time left to the latest grant with which the call meets its target; only if in time.
  excluded @8 :List(Text);
  build @9 :Text;
  # Software version that the engines must have; empty if any will do.
  holder @10 :Text;
  # Decode engine that holds its prompt; empty if none is known.
  priority @11 :UInt8 = 5;
  # 0 is the most urgent.
  organisation @12 :Text;
  # Empty if it has none.
  patienceMillis @13 :UInt32;
  # How long the VM lets the call wait for capacity; 0 if the allocator can't refuse it.
}

struct Claim {
  vm @0 :Text;
  incarnation @1 :UInt64;
  peerAddress @2 :Text;
  sequence @3 :UInt64;
  lastGrant @4 :UInt64;
  loads @5 :List(Load);
  asks @6 :List(Ask);
}

struct Grant {
  number @0 :UInt64;
  call @1 :UInt64;
  decode @2 :Text;
  prefill @3 :Text;
  # Empty for none.
  queuedTokens @4 :UInt64;
}

struct OriginRecord {
  stream @0 :UInt64;
  # 0 if the record is of the session alone.
  endpoint @1 :Text;
  build @2 :Text;
  lifetimeMillis @3 :UInt32;
  session @4 :UInt64;
  # Last part of the prompt; 0 for none.
}

struct OriginAnswer {
  union {
    unknown @0 :Void;
    mixed @1 :Void;
    # Several software versions can have begun the stream.
    sole @2 :Text;
    # The only software version that can have begun the stream.
    known @3 :Origin;
    pending @4 :Void;
    # The engines are being asked; the question may be repeated in a moment.
    held @5 :Holding;
  }
}

struct Holding {
  origin @0 :Origin;
  engine @1 :Text;
  # Empty if none is known that holds the prompt still.
}

struct Origin {
  endpoint @0 :Text;
  build @1 :Text;
}

struct Demand {
  # Requests per second of one organisation with one priority.
  organisation @0 :UInt64;
  # Hash of its name; 0 for none.
  rate @1 :Float32;
  # In an admission the fraction that is admitted.
  priority @2 :UInt8;
}

struct QueueSample {
  # The queue of a runner, as a response of it said.
  runner @0 :UInt64;
  # Hash of its name.
  running @1 :UInt16;
  waiting @2 :UInt16;
  slots @3 :UInt16;
  ageMillis @4 :UInt16;
}

struct LoadReport {
  # What a VM sees of a plain endpoint.
  vm @0 :Text;
  endpoint @1 :Text;
  demand @2 :List(Demand);
  served @3 :Float32;
  declined @4 :Float32;
  workMicros @5 :UInt32;
  # How long a request takes at a runner without a queue.
  queues @6 :List(QueueSample);
}

struct Admission {
  isOverloaded @0 :Bool;
  # If not, all requests are admitted.
  rate @1 :Float32;
  # Requests per second that are admitted at all VMs together.
  fractions @2 :List(Demand);
  part @3 :Float32;
  # Of all requests that is admitted.
}

struct Batch {
  allocator @0 :Text;
  incarnation @1 :UInt64;
  # Of the VM that the grants are for.
  grants @2 :List(Grant);
  refusals @3 :List(Refusal);
  # Calls that can't get capacity in time.
}

struct Refusal {
  call @0 :UInt64;
  retryMillis @1 :UInt32;
  # When there is capacity for the call, if it comes again.
  group @2 :UInt32;
}

struct CreditEntry {
  # What a VM asks and reports for one organisation.
  organisation @0 :Text;
  number @1 :UInt64;
  # Of the ask, chosen by the VM.
  cost @2 :UInt64;
  spent @3 :Int64;
  # Spent without an ask since the last report, less what was granted and not used.
  isReport @4 :Bool;
  # Whether nothing is asked.
}

enum CreditVerdict {
  granted @0;
  refused @1;
  unknown @2;
  # The VM that was asked does not know the organisation.
}

struct CreditAnswer {
  # The decision on one request.
  organisation @0 :Text;
  number @1 :UInt64;
  cost @2 :UInt64;
  verdict @3 :CreditVerdict;
  isScarce @4 :Bool;
  # Whether the bucket is nearly empty.
  waitMillis @5 :UInt32;
  # Time until the bucket has the cost, if it is refused.
  returnMillis @6 :UInt32;
  # When the caller of the request is to come back.
}
