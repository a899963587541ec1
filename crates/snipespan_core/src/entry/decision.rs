//! Decisions of an entry as they are logged, each with its inputs.

use derive_more::Display;

use crate::configuration::Revision;
use crate::configuration_check::finding::Finding;
use crate::entry::systems::availability::ObstacleCounts;
use crate::entry::systems::availability::SendObstacle;
use crate::identity::DataCentre;
use crate::identity::RequestId;
use crate::identity::Target;

/// A decision on a request, or a change of what an entry believes.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Decision {
    /// A request was refused at once, as no backend server may get it until operators act.
    #[display(
        "request={id} target={target:?} reason={reason:?} {counts} configuration={revision}; \
         refused: no backend server is left",
        target = target.to_string(), reason = reason.to_string()
    )]
    Refused {
        /// The request.
        id: RequestId,
        /// Model or plain service that it asks for.
        target: Target,
        /// Why it is refused.
        reason: SendObstacle,
        /// The backend servers of its target by obstacle.
        counts: ObstacleCounts,
        /// The configuration that was applied.
        revision: Revision,
    },
    /// A check found something in the configuration in force.
    #[display("configuration={revision} {finding}; configuration finding")]
    ConfigurationFinding {
        /// The configuration.
        revision: Revision,
        /// What was found.
        finding: Finding,
    },
    /// Operators have evacuated a data centre.
    #[display(
        "data_centre={name:?} backend_servers={backend_servers} configuration={revision}; \
         data centre evacuated",
        name = name.0
    )]
    Evacuated {
        /// The data centre.
        name: DataCentre,
        /// Number of its backend servers; 0 if the entry knows none there.
        backend_servers: usize,
        /// The configuration that evacuates it.
        revision: Revision,
    },
    /// Operators have restored an evacuated data centre.
    #[display(
        "data_centre={name:?} backend_servers={backend_servers} configuration={revision}; \
         data centre restored",
        name = name.0
    )]
    Restored {
        /// The data centre.
        name: DataCentre,
        /// Number of its backend servers.
        backend_servers: usize,
        /// The configuration that restores it.
        revision: Revision,
    },
}
