//! Manifests that come from other VMs while the configuration service can't be reached.

mod support;

use hornbeamtiller_relay::event::{Effect, Event};
use hornbeamtiller_relay::member::{ManifestWish, View};
use support::{member, ms, published_views, view, Harness};

/// A view of a VM that can't read the configuration service.
fn cut_view(manifest_wish: ManifestWish, reply_requested: bool) -> View {
    View {
        manifest_version: 1,
        source_reached: false,
        manifest_wish,
        ..view(member("vm-2", 2, 7), reply_requested)
    }
}

fn receive(harness: &mut Harness, view: View) -> Vec<Effect> {
    harness.apply(Event::ViewReceived { view: view.into() })
}

fn has_manifest(effects: &[Effect]) -> bool {
    let views = published_views(effects);
    views.iter().any(|view| view.manifest.is_some())
}

/// Guards against a large manifest that comes with each view of each VM, over a link on which not one then arrives in
/// time.
#[test]
fn manifest_sent_on_request_alone() {
    let mut harness = Harness::new(1);
    let effects = receive(&mut harness, cut_view(ManifestWish::NotNow, true));
    assert!(!published_views(&effects).is_empty());
    assert!(!has_manifest(&effects));
    for _ in 0..10 {
        assert!(!has_manifest(&harness.advance(ms(300))));
    }
    assert!(has_manifest(&receive(
        &mut harness,
        cut_view(ManifestWish::Reply, true)
    )));
    for _ in 0..10 {
        assert!(!has_manifest(&harness.advance(ms(300))));
    }
}

/// A VM of an earlier release asks for nothing and is sent manifests as before.
#[test]
fn manifest_sent_to_earlier_release() {
    let mut harness = Harness::new(1);
    assert!(has_manifest(&receive(
        &mut harness,
        cut_view(ManifestWish::Always, false)
    )));
    let effects: Vec<Effect> = (0..10).flat_map(|_| harness.advance(ms(300))).collect();
    assert!(has_manifest(&effects));
}

/// Guards against many VMs that are asked for the same manifest, or none again where one does not answer.
#[test]
fn manifest_asked_of_one_vm_at_a_time() {
    let mut harness = Harness::new(1);
    harness.apply(Event::SourceReached { reached: false });
    let asks = |effects: &[Effect]| {
        let views = published_views(effects);
        let asking = |view: &&View| view.manifest_wish == ManifestWish::Reply;
        views.iter().filter(asking).count()
    };
    let mut asked = 0;
    for host in 2..30 {
        let newer = View {
            manifest_version: 3,
            ..view(member(&format!("vm-{host}"), host, 7), false)
        };
        asked += asks(&receive(&mut harness, newer));
    }
    assert_eq!(asked, 1);
    harness.advance(ms(1_000));
    let newer = View {
        manifest_version: 3,
        ..view(member("vm-5", 5, 7), false)
    };
    assert_eq!(asks(&receive(&mut harness, newer)), 1);
}
