@0xd2b47a1c90e3f586;
# Calls between entry VMs. A connection opens with a handshake under the shared key, after which
# each side delivers batches of messages to the other.

interface Gate {
  # What a listener offers before the handshake.

  hello @0 (nonce :Data) -> (nonce :Data, vm :UInt32, incarnation :UInt64, mac :Data);
  # Asks for proof of the shared key over the caller's nonce.

  enter @1 (vm :UInt32, incarnation :UInt64, mac :Data) -> (inbox :Inbox);
  # Proves the key over the listener's nonce and gives the inbox.
}

interface Inbox {
  deliver @0 (batch :Batch) -> (batch :Batch);
  # Takes messages and returns those that are due to the sender at once, such as their answers. The
  # return says that the messages were taken, not that they had any effect.
}

struct Stamp {
  micros @0 :UInt64;
  counter @1 :UInt32;
}

struct Batch {
  stamp @0 :Stamp;
  messages @1 :List(Message);
}

struct Key {
  high @0 :UInt64;
  low @1 :UInt64;
}

enum Standing {
  joining @0;
  up @1;
  suspect @2;
  leaving @3;
  down @4;
}

struct Address {
  # An IP address as 4 or 16 bytes, and a port.
  ip @0 :Data;
  port @1 :UInt16;
}

struct Card {
  vm @0 :UInt32;
  incarnation @1 :UInt64;
  version @2 :UInt64;
  zone @3 :Text;
  callerAddress @4 :Address;
  peerAddress @5 :Address;
  standing @6 :Standing;
}

struct Answer {
  status @0 :UInt16;
  fingerprint @1 :Key;
  kind @2 :Text;
  body @3 :Data;
  hasBody @4 :Bool;
}

struct Record {
  union {
    sealed @0 :Void;
    intent @1 :Void;
    answered @2 :Answer;
    neverRan @3 :Void;
    uncertain @4 :Void;
    none @5 :Void;
  }
}

struct Probe {
  number @0 :UInt64;
  ticket @1 :UInt64;
}

struct ProbeFor {
  number @0 :UInt64;
  target @1 :UInt32;
}

struct Intent {
  key @0 :Key;
  witness @1 :UInt64;
  expirySeconds @2 :UInt64;
}

struct IntentAck {
  key @0 :Key;
  granted @1 :Bool;
}

struct Outcome {
  key @0 :Key;
  record @1 :Record;
}

struct Seal {
  key @0 :Key;
  witness @1 :UInt64;
  expirySeconds @2 :UInt64;
}

struct Hold {
  key @0 :Key;
  expirySeconds @1 :UInt64;
  address @2 :Address;
  request @3 :Text;
  # Empty where there is no stream.
}

struct Version {
  name @0 :Text;
  ticket @1 :UInt64;
  text @2 :Text;
}

struct Snapshot {
  newest @0 :UInt64;
  part @1 :UInt32;
  parts @2 :UInt32;
  versions @3 :List(Version);
}

struct Message {
  union {
    probe @0 :Probe;
    probeAck @1 :Probe;
    probeFor @2 :ProbeFor;
    cards @3 :List(Card);
    intent @4 :Intent;
    intentAck @5 :IntentAck;
    outcome @6 :Outcome;
    outcomeAck @7 :Key;
    seal @8 :Seal;
    sealAck @9 :Outcome;
    hold @10 :Hold;
    holdAsk @11 :Key;
    holdTold @12 :Hold;
    ticketAsk @13 :UInt64;
    tickets @14 :List(Text);
    snapshot @15 :Snapshot;
  }
}
