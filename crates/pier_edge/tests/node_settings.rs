//! Settings that a file may leave out, and those that are refused.

use std::time;

use pier_edge::settings;
use pier_types::sizes;

/// Returns a complete settings file without its optional keys, with these lines added to sections.
fn text(node: &str, limits: &str, bounds: &str) -> String {
    format!(
        "[node]\nname = n1\ndata_centre = dc-a\ndata_centres = dc-a,dc-b\n{node}\n\
         [listen]\ncallers = 127.0.0.1:1\nreadiness = 127.0.0.1:2\npeers = 127.0.0.1:3\n\
         forwards = 127.0.0.1:4\nmetrics = 127.0.0.1:5\n\
         [platform]\nstore = 127.0.0.1:9\n[limits]\nmemory_mib = 200\n{limits}\n\
         [bounds]\ngrace_seconds = 8\nretry_ratio = 0.2\nretry_burst = 100\n\
         retry_window_seconds = 10\n{bounds}\n[log]\nlevel = info\n"
    )
}

// Guards against a settings file of an earlier build that a newer one refuses.
#[test]
fn optional_settings_may_be_missing_or_empty() {
    for text in [
        text("", "", ""),
        text("first_start =", "cores =", "leaving_ms ="),
        text("", "", "remote_percent ="),
    ] {
        let read = settings::EdgeSettings::parse(&text).unwrap();
        assert!(!read.is_first_start);
        assert_eq!(read.cores, sizes::CoreShare::default());
        assert_eq!(read.bounds.leaving, time::Duration::from_secs(2));
        assert_eq!(read.bounds.remote_percent, 100);
    }
}

#[test]
fn optional_settings_are_read() {
    let text = text("first_start = true", "cores = 0.12", "leaving_ms = 4000");
    let read = settings::EdgeSettings::parse(&text).unwrap();
    assert!(read.is_first_start);
    assert_eq!(read.cores, sizes::CoreShare::new(120));
    assert_eq!(read.bounds.leaving, time::Duration::from_secs(4));
    let text = self::text("", "", "remote_percent = 0");
    let read = settings::EdgeSettings::parse(&text).unwrap();
    assert_eq!(read.bounds.remote_percent, 0);
}

// Guards against a malformed value that counts as a missing one.
#[test]
fn malformed_optional_settings_are_refused_by_name() {
    for (key, text) in [
        ("first_start", text("first_start = maybe", "", "")),
        ("cores", text("", "cores = 0", "")),
        ("cores", text("", "cores = nan", "")),
        ("cores", text("", "cores = -1", "")),
        ("body_budget_mib", text("", "body_budget_mib = 0", "")),
        ("least_body_rate", text("", "least_body_rate = -5", "")),
        ("body_quiet_seconds", text("", "body_quiet_seconds = 0", "")),
        ("caller_connections", text("", "caller_connections = 0", "")),
        (
            "caller_connections",
            text("", "caller_connections = 1.5", ""),
        ),
        ("answer_budget_mib", text("", "answer_budget_mib = 0", "")),
        ("least_answer_rate", text("", "least_answer_rate = x", "")),
        ("leaving_ms", text("", "", "leaving_ms = 0")),
        ("leaving_ms", text("", "", "leaving_ms = soon")),
        ("remote_percent", text("", "", "remote_percent = 101")),
        ("remote_percent", text("", "", "remote_percent = -1")),
    ] {
        let error = settings::EdgeSettings::parse(&text).unwrap_err();
        assert!(error.to_string().contains(key), "{error}");
    }
}

#[test]
fn limits_on_bodies_follow_from_the_memory_and_can_be_set() {
    let read = settings::EdgeSettings::parse(&text("", "", "")).unwrap();
    // Of 200 MiB the program keeps 40 and an eighth of the rest, and answers a quarter.
    assert_eq!(read.bodies.budget, sizes::ByteSize::new(90 << 20));
    assert_eq!(read.bodies.least_rate, sizes::ByteSize::new(16_384));
    assert_eq!(read.bodies.quiet_time, None);
    assert_eq!(read.bodies.connections, 1_600);
    let limits = "body_budget_mib = 20\nleast_body_rate = 1000\nbody_quiet_seconds = 2.5\n\
                  caller_connections = 64";
    let read = settings::EdgeSettings::parse(&text("", limits, "")).unwrap();
    assert_eq!(read.bodies.budget, sizes::ByteSize::new(20 << 20));
    assert_eq!(read.bodies.least_rate, sizes::ByteSize::new(1_000));
    let quiet = time::Duration::from_millis(2_500);
    assert_eq!(read.bodies.quiet_time, Some(quiet));
    assert_eq!(read.bodies.connections, 64);
}

#[test]
fn limits_on_answers_follow_from_the_memory_and_can_be_set() {
    let read = settings::EdgeSettings::parse(&text("", "", "")).unwrap();
    assert_eq!(read.answers.budget, sizes::ByteSize::new(50 << 20));
    assert_eq!(read.answers.least_rate, sizes::ByteSize::new(16_384));
    let limits = "answer_budget_mib = 30\nleast_answer_rate = 2000";
    let read = settings::EdgeSettings::parse(&text("", limits, "")).unwrap();
    assert_eq!(read.answers.budget, sizes::ByteSize::new(30 << 20));
    assert_eq!(read.answers.least_rate, sizes::ByteSize::new(2_000));
}
