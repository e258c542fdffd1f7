//! The operators' page on log events lists exactly the events that the code logs.

use std::{collections, fs, path};

/// Events written by the logger itself: records of libraries, and the count of dropped lines.
const OWN_EVENTS: [&str; 2] = ["library", "log-lines-lost"];

fn root() -> path::PathBuf {
    path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Adds the events that are logged by the sources below a folder.
fn add_events(folder: &path::Path, events: &mut collections::BTreeSet<String>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            add_events(&path, events);
        } else if path.extension().is_some_and(|end| end == "rs") {
            let text = fs::read_to_string(&path).unwrap();
            let parts = text.split("event = \"").skip(1);
            events.extend(parts.filter_map(|part| Some(part.split_once('"')?.0.to_owned())));
        }
    }
}

/// Returns the event names in the first column of the page's table.
fn documented() -> collections::BTreeSet<String> {
    let page = fs::read_to_string(root().join("docs/operators/log-events.md")).unwrap();
    let rows = page.lines().filter_map(|line| line.strip_prefix("| `"));
    rows.filter_map(|row| Some(row.split_once('`')?.0.to_owned()))
        .collect()
}

#[test]
fn page_names_every_event_and_no_other() {
    let mut events: collections::BTreeSet<_> = OWN_EVENTS.map(str::to_owned).into();
    for entry in fs::read_dir(root().join("crates")).unwrap() {
        add_events(&entry.unwrap().path().join("src"), &mut events);
    }
    add_events(&root().join("platform/src"), &mut events);
    assert_eq!(documented(), events);
}
