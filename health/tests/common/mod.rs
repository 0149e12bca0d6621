//! What several tests of the crate set up alike.

use birchreach_health::{RequestClass, RequiredServer};

/// A class of writes, `file-entry`, and one of reads, `tariff-lookup`.
pub(crate) fn request_classes() -> Vec<RequestClass> {
    vec![
        RequestClass { name: "file-entry".into(), needs: RequiredServer::Primary },
        RequestClass { name: "tariff-lookup".into(), needs: RequiredServer::AnyMember },
    ]
}
