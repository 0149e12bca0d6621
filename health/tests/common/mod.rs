//! Set-up that several tests of the crate share.

use birchreach_health::{RequestClass, RequiredServer};

/// Returns a class of writes, `file-entry`, and a class of reads, `tariff-lookup`.
pub(crate) fn request_classes() -> Vec<RequestClass> {
    vec![
        RequestClass { name: "file-entry".into(), needs: RequiredServer::Primary },
        RequestClass { name: "tariff-lookup".into(), needs: RequiredServer::AnyMember },
    ]
}
