@0xd2f1a7c5b3e94806;
# Messages between mangodeal daemons.
# Regenerate: capnp compile -orust:src crates/peer/schema/peer.capnp --src-prefix=crates/peer/schema

interface Peer {
  # Delivers one message. The answer says only that it was received.
  deliver @0 (from :Seat, message :Message) -> ();
}

struct Seat {
  address @0 :Text;
  incarnation @1 :UInt64;
}

struct Message {
  union {
    ping @0 :Ping;
    pong @1 :Pong;
    needChanges @2 :UInt64;
    changes @3 :List(Data);      # each a change in its stored JSON form
    snapshot @4 :Data;           # a snapshot document in JSON
    borrow @5 :Borrow;
    lend @6 :Lend;
    settle @7 :Settle;
    want @8 :Want;
    wantAnswer @9 :WantAnswer;
    view @10 :View;
    askOrders @11 :List(UInt64);
    disowned @12 :List(UInt64);
    rosters @13 :Data;           # a list of roster documents in JSON
    viewDelta @14 :ViewDelta;
    needView @15 :Text;
  }
}

struct Ping {
  nonce @0 :UInt64;
  revision @1 :UInt64;
  rosters @2 :UInt64;
}

struct Pong {
  nonce @0 :UInt64;
  revision @1 :UInt64;
  fresh @2 :Bool;
  freshAgeUs @3 :UInt64;
  serviceUp @4 :Bool;
  rosters @5 :UInt64;
}

struct Borrow {
  draw @0 :UInt64;
  team @1 :Text;
  wanted @2 :UInt64;             # micro-tokens
}

struct Lend {
  draw @0 :UInt64;
  team @1 :Text;
  loan @2 :UInt64;
  amount @3 :UInt64;             # micro-tokens; zero stands for no loan
}

struct Settle {
  lender @0 :UInt64;
  team @1 :Text;
  loan @2 :UInt64;
  returned @3 :UInt64;           # micro-tokens
}

struct Want {
  model @0 :Text;
  timeLeftUs @1 :UInt64;
  waiting @2 :UInt32;
  extra @3 :Bool;
}

struct WantAnswer {
  model @0 :Text;
  retryAfterUs @1 :UInt64;
}

struct View {
  domain @0 :Text;
  fence @1 :UInt64;
  version @2 :UInt64;
  replicas @3 :List(Residency);
  loads @4 :List(Load);
}

struct ViewDelta {
  domain @0 :Text;
  fence @1 :UInt64;
  base @2 :UInt64;
  version @3 :UInt64;
  set @4 :List(Residency);
  gone @5 :List(Residency);
  loads @6 :List(Load);
}

struct Residency {
  target @0 :Text;
  model @1 :Text;
  ready @2 :Bool;
}

struct Load {
  target @0 :Text;
  total @1 :UInt32;
}
