//! Settings are validated together and all faults are listed; a peer needs the fleet's key.

mod support;

use std::net::SocketAddr;

use expect_test::expect;

use support::{flags, with_fleet};

#[test]
fn check_lists_all_faults() {
    let mut bad = flags(1, SocketAddr::from(([127, 0, 0, 1], 1)));
    bad.vm = 0;
    bad.zone = String::new();
    bad.key = "short".to_owned();
    bad.previous_key = Some("short".to_owned());
    bad.caller_listen = SocketAddr::from(([0, 0, 0, 0], 80));
    bad.peer_listen = SocketAddr::from(([127, 0, 0, 1], 81));
    bad.operator_listen = bad.peer_listen;
    bad.keep_entries_ms = 1;
    bad.connections = 0;
    let faults = bad.check().expect_err("bad settings");
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    expect![[r#"
        --key is shorter than 16 bytes
        --previous-key is shorter than 16 bytes
        --previous-key is the same as --key
        --caller-listen must be an address that others can reach, not 0.0.0.0 or ::
        --peer-listen and --operator-listen are the same address
        --zone is empty
        --vm is 0; numbers begin at 1
        --keep-entries-ms is 1; it must be from 1000 to 600000
        --connections is 0; it must be from 1 to 1000000"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn authenticate_other_key() {
    with_fleet(1, |fleet| async move {
        let mut outsider = flags(9, fleet.fixture.platform_address());
        outsider.key = "a key that the fleet does not have".to_owned();
        let outsider =
            hornbeamtiller_node::Node::open(outsider.check().expect("good flags")).expect("a node");
        let before = fleet.get(fleet.operator(0), "/metrics").await;
        // The outsider reads the VM list and connects to the fleet's node; the handshake fails.
        fleet
            .eventually("the outsider to drop its rejected messages", || async {
                let metrics = fleet.get(outsider.operator_address(), "/metrics").await;
                let text = String::from_utf8_lossy(&metrics.body).into_owned();
                text.lines().any(|line| {
                    line.starts_with("hornbeamtiller_peer_messages_dropped_total")
                        && !line.ends_with(" 0")
                })
            })
            .await;
        assert_eq!(before.status, 200);
        let status = fleet
            .get(fleet.operator(0), "/admin/v1/status")
            .await
            .json();
        assert_eq!(status["members"].as_array().map(Vec::len), Some(0));
    });
}
