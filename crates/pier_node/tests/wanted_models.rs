//! The wanted models of a data centre follow from the configuration.

use pier_config::documents;
use pier_node::control;

const SAMPLE: &str = include_str!("../../../examples/laurel-north.ini");

fn document(text: &str) -> documents::ConfigDocument {
    text.parse().unwrap()
}

#[test]
fn data_centre_out_of_service_keeps_its_groups() {
    let name = "scot-central-a".parse().unwrap();
    let before = control::wanted_models(&document(SAMPLE), &name).unwrap();
    assert_eq!(before[&"drafter".parse().unwrap()].replicas, 5);
    let out = SAMPLE.replacen("state = in-service", "state = out-of-service", 1);
    assert_eq!(control::wanted_models(&document(&out), &name), Some(before));
}

#[test]
fn unnamed_data_centre_has_no_wanted_models() {
    let name = "elsewhere".parse().unwrap();
    assert_eq!(control::wanted_models(&document(SAMPLE), &name), None);
}

#[test]
fn split_roles_reach_the_members() {
    let text = SAMPLE.replacen("roles = unified", "roles = prefill:1 decode:3", 1);
    let name = "scot-central-a".parse().unwrap();
    let wanted = control::wanted_models(&document(&text), &name).unwrap();
    let recipe = &wanted[&"drafter".parse().unwrap()].recipe;
    let roles: Vec<_> = (0..4).map(|rank| recipe.role(rank).to_string()).collect();
    assert_eq!(roles, ["prefill", "decode", "decode", "decode"]);
}
