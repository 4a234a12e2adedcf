//! Compatibility of the peer protocol: `kept/greeting.json` holds a request and a reply as the last version without
//! gangs encodes them.
//!
//! Guards against a changed or renumbered field: controllers of two versions could not read each other's heartbeats
//! during an upgrade.

use prost::Message;

#[allow(missing_docs)]
mod wire {
    tonic::include_proto!("tidelatch.peer.v1");
}

/// Returns the recorded bytes of `request` or `reply`.
fn recorded_message(which: &str) -> Vec<u8> {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/kept/greeting.json");
    let recorded: serde_json::Value =
        serde_json::from_str(&std::fs::read_to_string(path).expect("the recorded messages can be read")).expect("JSON");
    let hex = recorded[which]["bytes"].as_str().expect("a field `bytes`");
    let byte = |i: usize| u8::from_str_radix(hex.get(i..i + 2).expect("two digits"), 16).expect("hex");
    (0..hex.len()).step_by(2).map(byte).collect()
}

/// Guards against a changed field number, type or meaning in `peer.proto`, which the other version would decode to
/// wrong values.
#[test]
fn hello_messages_of_the_last_version_without_gangs_decode_and_encode_alike() {
    // Fields are only ever added: this version encodes the old fields to the same bytes.
    let bytes = recorded_message("request");
    let request = wire::HelloRequest::decode(bytes.as_slice()).expect("a hello request");
    assert_eq!(
        (
            request.name.as_str(),
            request.entitled,
            request.wants_grant,
            request.relies
        ),
        ("berth-1", true, true, false)
    );
    let digest = request.digests.first().expect("a digest");
    assert_eq!((digest.partition, digest.ledger, digest.demand), (2, 431, 17.5));
    assert_eq!(
        digest
            .needs
            .first()
            .map(|n| (n.zone.as_str(), n.spot, n.count, n.urgent)),
        Some(("a", true, 3, true))
    );
    assert_eq!(digest.idle.first().map(|i| i.machine.as_str()), Some("n-000001"));
    assert_eq!(
        digest.wants.first().map(|w| (w.count, w.size.clone())),
        Some((5, vec![8.0, 1.0, 40.0]))
    );
    assert_eq!(request.encode_to_vec(), bytes);

    let bytes = recorded_message("reply");
    let reply = wire::HelloReply::decode(bytes.as_slice()).expect("a hello reply");
    assert_eq!((reply.entitled, reply.granted, reply.relies), (true, true, true));
    assert_eq!(
        reply.moves.first().map(|m| (m.machine.as_str(), m.to, m.vacate)),
        Some(("n-000007", 1, true))
    );
    assert_eq!(reply.encode_to_vec(), bytes);

    // A field that a later version adds is ignored.
    let mut later = recorded_message("reply");
    later.extend([0xf8, 0x06, 0x01]);
    assert_eq!(wire::HelloReply::decode(later.as_slice()).map(|r| r.moves.len()), Ok(1));
}
