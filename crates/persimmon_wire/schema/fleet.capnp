@0xb2d4f1a7c3905e86;
# The protocol between the processes of the fleet. The generated code is committed; make it again
# with the command in this crate's README.

interface Node {
  # What every process offers.

  records @0 (have :SetVersion) -> (update :RecordsUpdate);
  # The record set in force, if it is higher than the one given.

  sidecar @1 () -> (sidecar :Sidecar, name :Text, stamp :Stamp);
  # The sidecar's own interface; a router has none and answers "unimplemented".

  vms @2 (version :UInt64) -> (list :Text);
  # The VM list as JSON, if it is newer than the version given; empty otherwise.
}

struct SetVersion {
  generation @0 :UInt64;
  digest @1 :Data;
  # Empty for a process without records.
}

struct RecordsUpdate {
  inForce @0 :SetVersion;
  union {
    unchanged @1 :Void;
    changes @2 :Text;
    # The changes that lead from the given version to the one in force.
    whole @3 :Text;
  }
}

interface Sidecar {
  submit @0 (request :ModelRequest, sink :FrameSink) -> (admission :Admission);
  resume @1 (position :StreamPosition, sink :FrameSink) -> (resumption :Resumption);
  settle @2 (request :RequestRef) -> (settled :Settled);
  cancel @3 (request :RequestRef) -> ();
  claim @4 (request :ClaimRequest) -> (reply :ClaimReply);
  call @5 (call :ServiceCall) -> (reply :CallReply);
  credit @6 (demand :CreditDemand) -> (batch :CreditBatch);
}

interface FrameSink {
  push @0 (frame :Frame) -> ();
  # The reply acknowledges the frame, so that the sidecar may forget it.
}

enum Class {
  quick @0;
  conversation @1;
  drafting @2;
}

struct Stamp {
  incarnation @0 :UInt64;
  issuedAtMs @1 :UInt64;
  # By the monotonic clock of the sidecar that made the stamp.
}

struct RequestRef {
  workspace @0 :Text;
  requestId @1 :Data;
  stamp @2 :Stamp;
}

struct ModelRequest {
  id @0 :RequestRef;
  attempt @1 :UInt32;
  model @2 :Text;
  class @3 :Class;
  fingerprint @4 :UInt64;
  uncachedTokens @5 :UInt32;
  # The router's estimate of the prompt tokens that the engine's cache doesn't hold.
  maxTokens @6 :UInt32;
  deadlineMs @7 :UInt64;
  # Milliseconds left when the router sent the request.
  messages @8 :Text;
  # JSON, as the engine takes it.
  traceparent @9 :Text;
  chat @10 :UInt64;
  toldPerSlot @11 :Float64;
  # The mean load per slot of the endpoints that have just refused the request; negative if not
  # enough have.
}

struct Load {
  work @0 :UInt64;
  running @1 :UInt32;
  waiting @2 :UInt32;
  slots @3 :UInt32;
  bound @4 :UInt64;
}

struct Refusal {
  kind @0 :Text;
  # A refusal's stable kind.
  retryAfterMs @1 :UInt64;
}

struct Admission {
  load @0 :Load;
  stamp @1 :Stamp;
  union {
    accepted @2 :Void;
    refused @3 :Refusal;
  }
}

struct StreamPosition {
  id @0 :RequestRef;
  attempt @1 :UInt32;
  offset @2 :UInt64;
}

struct Resumption {
  union {
    resumed @0 :Void;
    refused @1 :Refusal;
  }
}

enum Settled {
  started @0;
  done @1;
  notRun @2;
  unknown @3;
}

enum StreamEnd {
  whole @0;
  cancelled @1;
  cut @2;
  crashed @3;
  withdrawn @4;
}

struct Frame {
  requestId @0 :Data;
  attempt @1 :UInt32;
  incarnation @2 :UInt64;
  offset @3 :UInt64;
  union {
    heartbeat @4 :UInt64;
    # The time of the sidecar's stamp, in milliseconds.
    data @5 :Data;
    # One line of the engine's answer.
    end @6 :StreamEnd;
  }
}

struct ClaimRequest {
  workspace @0 :Text;
  service @1 :Text;
  key @2 :Text;
}

struct ClaimReply {
  union {
    issued @0 :IssuedClaim;
    refused @1 :Refusal;
  }
}

struct IssuedClaim {
  claim @0 :Text;
  expiresInMs @1 :UInt64;
}

struct ServiceCall {
  id @0 :RequestRef;
  service @1 :Text;
  claim @2 :Text;
  # Empty for a call that may be repeated.
  operation @3 :Text;
  body @4 :Text;
  # JSON, as the service takes it.
  deadlineMs @5 :UInt64;
  traceparent @6 :Text;
}

struct CallReply {
  union {
    answered @0 :CallAnswer;
    refused @1 :Refusal;
    unknown @2 :Text;
  }
}

struct CallAnswer {
  status @0 :UInt16;
  # The HTTP status of the service's reply.
  body @1 :Text;
  repeated @2 :Bool;
  # Whether this is the recorded answer of an earlier run.
}

struct CreditDemand {
  workspace @0 :Text;
  class @1 :Class;
  wanted @2 :UInt32;
  isTotal @3 :Bool;
  # Whether the limit is that of all classes together.
}

struct CreditBatch {
  credits @0 :UInt32;
  ttlMs @1 :UInt32;
  moreAfterMs @2 :UInt32;
}

struct Datagram {
  # One digest, sent over UDP behind its authentication code.
  from @0 :UInt64;
  incarnation @1 :UInt64;
  generation @2 :UInt64;
  setDigest @3 :Data;
  # Empty if the sender has no record set.
  vmsVersion @4 :UInt64;
  contactAgeMs @5 :UInt32;
  wantsReply @6 :Bool;
  entries @7 :List(DigestEntry);
  suspects @8 :List(SuspectMark);
}

struct DigestEntry {
  node @0 :UInt64;
  incarnation @1 :UInt64;
  beat @2 :UInt32;
  work @3 :UInt32;
  age @4 :UInt8;
  flags @5 :UInt8;
}

struct SuspectMark {
  fingerprint @0 :UInt64;
  site @1 :UInt64;
  ttlS @2 :UInt16;
  verdict @3 :UInt8;
  round @4 :UInt8;
}
