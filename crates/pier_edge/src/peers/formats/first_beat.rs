//! The heartbeat of the first format.

use std::net;

use pier_fleet::loads;
use pier_types::{epochs, ids};
use serde::Deserialize;

use crate::peers;

/// A heartbeat of a node that takes no requests from other nodes.
#[derive(Debug, Deserialize)]
pub(super) struct FirstBeat {
    node: ids::NodeName,
    data_centre: ids::DataCentreName,
    number: u64,
    document: epochs::ConfigVersion,
    is_leaving: bool,
    reaches_store: bool,
    has_served: bool,
    loads: Vec<(ids::VmName, loads::TargetLoad)>,
    stuck: Vec<ids::VmName>,
    retiring: Vec<ids::VmName>,
}

impl From<FirstBeat> for peers::NodeBeat {
    /// Returns the heartbeat of a node that reaches no service, so that none is passed on to it.
    fn from(beat: FirstBeat) -> Self {
        Self {
            node: beat.node,
            data_centre: beat.data_centre,
            number: beat.number,
            document: beat.document,
            phase: if beat.is_leaving {
                peers::NodePhase::Leaving
            } else {
                peers::NodePhase::Serving
            },
            reaches_store: beat.reaches_store,
            has_served: beat.has_served,
            loads: beat.loads,
            stuck: beat.stuck,
            retiring: beat.retiring,
            forwards: net::SocketAddr::from(([0, 0, 0, 0], 0)),
            reached: Vec::new(),
        }
    }
}
