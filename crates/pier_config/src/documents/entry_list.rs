//! The canonical form of a document: sections in a fixed order, with all defaults filled in.

use std::fmt;

use crate::documents;

impl documents::ConfigDocument {
    /// Returns all entries in canonical order.
    pub fn entries(&self) -> Vec<documents::DocumentEntry> {
        let mut list = EntryList::default();
        list.start_section("document".to_owned());
        list.add("name", &self.name);
        if !self.applied_by.is_empty() {
            list.add("applied-by", &join(self.applied_by.iter()));
        }
        for (name, section) in &self.models {
            list.start_section(format!("model {name}"));
            list.add_model(section);
        }
        for (name, section) in &self.services {
            list.start_section(format!("service {name}"));
            list.add_service(section);
        }
        for (name, section) in &self.data_centres {
            list.start_section(format!("data-centre {name}"));
            list.add_data_centre(section);
        }
        for (name, section) in &self.customers {
            list.start_section(format!("customer {name}"));
            list.add_customer(section);
        }
        list.start_section("limits".to_owned());
        list.add_limits(&self.limits);
        list.start_section("drained".to_owned());
        for (vm, reason) in &self.drained {
            list.add(&format!("target.{vm}"), reason);
        }
        list.entries
    }
}

impl fmt::Display for documents::ConfigDocument {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut heading = String::new();
        for entry in self.entries() {
            if entry.section != heading {
                let gap = if heading.is_empty() { "" } else { "\n" };
                writeln!(f, "{gap}[{}]", entry.section)?;
                heading.clone_from(&entry.section);
            }
            writeln!(f, "{entry}")?;
        }
        Ok(())
    }
}

/// Collects entries section by section.
#[derive(Default)]
struct EntryList {
    section: String,
    entries: Vec<documents::DocumentEntry>,
}

impl EntryList {
    fn start_section(&mut self, section: String) {
        self.section = section;
    }

    fn add(&mut self, key: &str, value: &dyn fmt::Display) {
        self.entries.push(documents::DocumentEntry {
            section: self.section.clone(),
            key: key.to_owned(),
            value: value.to_string(),
        });
    }

    fn add_model(&mut self, section: &documents::ModelSection) {
        self.add("version", &section.version);
        self.add("members", &section.members);
        self.add("roles", &section.roles);
        self.add("adapters", &join(section.adapters.iter()));
        self.add("warm-limit", &section.warm_limit);
        self.add("cold-limit", &section.cold_limit);
        self.add("context-tokens", &section.context_tokens);
        self.add("max-tokens", &section.max_tokens);
        self.add("max-body-bytes", &section.max_body);
        self.add("weight-bytes", &section.weight_bytes);
        let affinity = if section.prefix_affinity { "yes" } else { "no" };
        self.add("prefix-affinity", &affinity);
    }

    fn add_service(&mut self, section: &documents::ServiceSection) {
        self.add("warm-limit", &section.warm_limit);
        self.add("cold-limit", &section.cold_limit);
        self.add("max-body-bytes", &section.max_body);
        let methods = documents::RepeatPolicy {
            completions: false,
            methods: section.repeatable_methods.clone(),
        };
        self.add("repeatable-methods", &methods);
        if !section.one_time_paths.is_empty() {
            self.add("one-time-paths", &section.one_time_paths.join(", "));
        }
    }

    fn add_data_centre(&mut self, section: &documents::DataCentreSection) {
        self.add("region", &section.region);
        self.add("state", &section.state);
        self.add("entry-slots", &section.entry_slots);
        for (model, count) in &section.replicas {
            self.add(&format!("replicas.{model}"), count);
        }
    }

    fn add_customer(&mut self, section: &documents::CustomerSection) {
        self.add("key-sha256", &section.key_hash);
        self.add("weight", &section.weight);
        self.add("max-priority", &section.max_priority);
        self.add("models", &join(section.models.iter()));
        self.add("services", &join(section.services.iter()));
        self.add("repeat", &section.repeat);
        self.add("retry-percent", &section.retry_percent);
    }

    fn add_limits(&mut self, limits: &documents::LimitSection) {
        let hours = limits.claim_retention.as_secs() / 3_600;
        self.add("weight-store-bytes-per-second", &limits.weight_store_rate);
        self.add("claim-retention-hours", &hours);
        self.add("freshness-ms", &limits.freshness.as_millis());
        self.add("deadline-default-ms", &limits.default_deadline.as_millis());
        self.add("max-body-bytes", &limits.max_body);
    }
}

fn join<T: fmt::Display>(items: impl Iterator<Item = T>) -> String {
    let items = items.map(|item| item.to_string()).collect::<Vec<_>>();
    items.join(", ")
}
