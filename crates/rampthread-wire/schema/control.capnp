@0xe8a1f5c3b7d94a21;
# Control messages between rampthread nodes. Regenerate with
# `crates/rampthread-wire/schema/generate.sh`; the result is committed.

struct Address {
  ip @0 :Data;      # 4 or 16 bytes
  port @1 :UInt16;
}

enum Status { alive @0; suspect @1; dead @2; left @3; }

struct Member {
  id @0 :Text;
  address @1 :Address;
  zone @2 :Text;
  region @3 :Text;
  incarnation @4 :UInt64;
  status @5 :Status;
  reader @6 :Bool;
  draining @7 :Bool;
  ready @8 :Bool;
  backendUp @9 :Bool;
  endpoint @10 :Endpoint;
}

struct Endpoint {
  instance @0 :Text;
  service @1 :Text;
  address @2 :Address;
  slots @3 :UInt32;
  draining @4 :Bool;
  sequence @5 :UInt64;
  coldMs @6 :UInt64;
  version @7 :Text;          # empty: not told
  speedPercent @8 :UInt16;   # 0: not known
}

struct ProbeBody {
  sequence @0 :UInt64;
  held @1 :UInt64;
  digest @2 :UInt64;
  updates @3 :List(Member);
  crashDigest @4 :UInt64;
}

struct CrashReport {
  identity @0 :Data;   # 16 bytes
  instance @1 :Text;
  ageMillis @2 :UInt32;
  cleared @3 :Bool;
  onTrial @4 :Bool;
}

# One service's back ends and callers, in thousandths of a slot.
struct ServiceLoad {
  service @0 :Text;
  capacity @1 :UInt32;
  busy @2 :UInt32;
  waiting @3 :UInt32;
  demand @4 :UInt32;
}

struct TenantLoad { tenant @0 :UInt32; asked @1 :UInt32; admitted @2 :UInt32; }

struct ZoneLoad {
  zone @0 :Text;
  ageMillis @1 :UInt32;
  services @2 :List(ServiceLoad);
  tenants @3 :List(TenantLoad);
  nodes @4 :UInt16;
}

enum RollOutPhase { running @0; moving @1; rollingBack @2; succeeded @3; rolledBack @4; }

struct RollOutState {
  service @0 :Text;
  order @1 :UInt64;
  target @2 :Text;
  phase @3 :RollOutPhase;
  sharePermille @4 :UInt16;
  step @5 :UInt64;
  term @6 :UInt64;
  elapsedMillis @7 :UInt64;
  durationMillis @8 :UInt64;
  decider @9 :Text;          # empty: nobody yet
}

struct VersionEvidence {
  service @0 :Text;
  order @1 :UInt64;
  version @2 :Text;
  group @3 :UInt8;
  route @4 :Text;
  answers @5 :UInt32;
  failures @6 :UInt32;
  times @7 :List(UInt32);
}

struct TokenDemand { tenant @0 :UInt32; tokens @1 :UInt32; urgent @2 :Bool; }

struct GrantedTokens { tenant @0 :UInt32; tokens @1 :UInt32; retryAfterMicros @2 :UInt32; }

struct Laggard { id @0 :Text; held @1 :UInt64; }

struct Spread {
  version @0 :UInt64;
  heldBy @1 :UInt32;
  nodes @2 :UInt32;
  laggards @3 :List(Laggard);
}

struct Envelope {
  from @0 :Text;
  life @1 :UInt64;
  message :union {
    ping @2 :ProbeBody;
    ack @3 :ProbeBody;
    pingRequest :group { sequence @4 :UInt64; target @5 :Text; }
    # `unused` was a wish for the whole table; it is neither set nor read.
    tableRecords :group { unused @6 :Bool; members @7 :List(Member); wanted @47 :List(UInt64); }
    notice :group { version @8 :UInt64; entry @9 :Data; }
    pull :group { held @10 :UInt64; }
    pullEntries :group { first @11 :UInt64; entries @12 :List(Data); }
    pullSnapshot :group { snapshot @13 :Data; }
    pullRefused :group { retryAfterMicros @14 :UInt64; instead @15 :Text; }
    held :group { version @16 :UInt64; }
    heldAck :group { version @17 :UInt64; }
    headQuestion :group { nonce @18 :UInt64; }
    headAnswer :group { nonce @19 :UInt64; head @20 :UInt64; }
    record :group { version @21 :UInt64; set @22 :UInt64; witnessLife @23 :UInt64; }
    recordAck :group { version @24 :UInt64; askerLife @25 :UInt64; }
    floorQuestion :group { nonce @26 :UInt64; }
    floorAnswer :group { nonce @27 :UInt64; known @28 :Bool; version @29 :UInt64; set @30 :UInt64; heard @31 :UInt64; }
    propose :group { submission @32 :UInt64; readerLife @33 :UInt64; entry @34 :Data; }
    proposeAnswer :group {
      submission @35 :UInt64;
      operationId @36 :Text;
      answer :union {
        decided :group { version @37 :UInt64; outcome @38 :Data; heldBy @39 :UInt32; }
        notRun :group { retryAfterMicros @40 :UInt64; }
        unknown @41 :Void;
        otherLife @42 :Void;
      }
    }
    spreadQuestion :group { nonce @43 :UInt64; }
    spreadAnswer :group { nonce @44 :UInt64; spread @45 :Spread; }
    drain @46 :Void;
    tableSummary :group { digests @48 :List(UInt64); }
    crashReports :group { reports @49 :List(CrashReport); all @50 :Bool; }
    loadReport :group { periodMillis @51 :UInt32; services @52 :List(ServiceLoad); tenants @53 :List(TenantLoad); nodes @58 :UInt16; }
    zoneLoads :group { zones @54 :List(ZoneLoad); }
    rollOuts :group { states @55 :List(RollOutState); }
    versionEvidence :group { evidence @56 :List(VersionEvidence); }
    storeEra :group { era @57 :UInt64; }
    tokenRequest :group { sequence @59 :UInt64; refillNanos @60 :UInt64; refillPeriodMicros @61 :UInt64; demands @62 :List(TokenDemand); }
    tokenGrant :group { sequence @63 :UInt64; grants @64 :List(GrantedTokens); filling @65 :Bool; }
  }
}
