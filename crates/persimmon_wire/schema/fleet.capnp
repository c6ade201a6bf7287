@0xb2d4f1a7c3905e86;
# The protocol between the processes of the fleet. The generated code is committed; make it again
# with the command in this crate's README.

interface Node {
  # What every process offers.

  records @0 (generation :UInt64, digest :Data) -> (update :RecordsUpdate);
  # The record set in force, if it is newer than the one given.

  sidecar @1 () -> (sidecar :Sidecar, name :Text, incarnation :UInt64);
  # The sidecar's own interface; a router has none and answers "unimplemented".
}

struct RecordsUpdate {
  union {
    unchanged @0 :Void;
    text @1 :Text;
  }
}

interface Sidecar {
  submit @0 (request :ModelRequest, sink :FrameSink) -> (admission :Admission);
  resume @1 (position :StreamPosition, sink :FrameSink) -> (resumption :Resumption);
  settle @2 (requestId :Data, incarnation :UInt64) -> (settlement :Settlement);
  cancel @3 (requestId :Data, incarnation :UInt64) -> ();
  claim @4 (request :ClaimRequest) -> (reply :ClaimReply);
  call @5 (request :ServiceCall) -> (reply :CallReply);
  credit @6 (request :CreditRequest) -> (batch :CreditBatch);
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

struct ModelRequest {
  requestId @0 :Data;
  attempt @1 :UInt32;
  incarnation @2 :UInt64;
  workspace @3 :Text;
  model @4 :Text;
  class @5 :Class;
  chatKey @6 :UInt64;
  fingerprint @7 :UInt64;
  uncachedTokens @8 :UInt32;
  maxTokens @9 :UInt32;
  deadlineMs @10 :UInt64;
  # Milliseconds left when the router sent the request.
  messages @11 :Text;
  # JSON, as the engine takes it.
  traceparent @12 :Text;
  meanLoad @13 :Float64;
  # The router's estimate of the mean load; negative if it holds none.
}

struct Load {
  work @0 :Float64;
  running @1 :UInt32;
  waiting @2 :UInt32;
}

struct Refusal {
  reason @0 :Text;
  # A reason's name as the decision crate writes it.
  retryAfterMs @1 :UInt64;
}

struct Admission {
  load @0 :Load;
  union {
    accepted @1 :Void;
    refused @2 :Refusal;
  }
}

struct StreamPosition {
  requestId @0 :Data;
  attempt @1 :UInt32;
  incarnation @2 :UInt64;
  offset @3 :UInt64;
}

struct Resumption {
  union {
    resumed @0 :Void;
    refused @1 :Refusal;
  }
}

enum Settlement {
  notRun @0;
  started @1;
  done @2;
  unknown @3;
}

struct Frame {
  requestId @0 :Data;
  attempt @1 :UInt32;
  incarnation @2 :UInt64;
  offset @3 :UInt64;
  union {
    heartbeat @4 :Void;
    start @5 :Start;
    token @6 :Text;
    end @7 :End;
    failure @8 :Text;
  }
}

struct Start {
  promptTokens @0 :UInt32;
  cachedTokens @1 :UInt32;
}

struct End {
  reason @0 :Text;
  completionTokens @1 :UInt32;
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
  requestId @0 :Data;
  incarnation @1 :UInt64;
  workspace @2 :Text;
  service @3 :Text;
  claim @4 :Text;
  # Empty for a call that may be repeated.
  operation @5 :Text;
  body @6 :Text;
  # JSON, as the service takes it.
  deadlineMs @7 :UInt64;
  traceparent @8 :Text;
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
  body @1 :Text;
  repeated @2 :Bool;
  # Whether this is the recorded answer of an earlier run.
}

struct CreditRequest {
  workspace @0 :Text;
  class @1 :Class;
  wanted @2 :UInt32;
}

struct CreditBatch {
  granted @0 :UInt32;
  ttlMs @1 :UInt64;
}

struct Datagram {
  # One digest, sent over UDP behind its authentication code.
  sender @0 :Text;
  incarnation @1 :UInt64;
  generation @2 :UInt64;
  setDigest @3 :Data;
  entries @4 :List(DigestEntry);
  quarantined @5 :List(QuarantineEntry);
}

struct DigestEntry {
  endpoint @0 :UInt64;
  # Hash of the endpoint's name.
  incarnation @1 :UInt64;
  work @2 :Float32;
  ageMs @3 :UInt32;
  flags @4 :UInt8;
}

struct QuarantineEntry {
  fingerprint @0 :UInt64;
  remainingMs @1 :UInt32;
  crashes @2 :UInt8;
}
