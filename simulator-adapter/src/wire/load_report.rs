//! Decodes statuses and load reports of servers. A server sends them with a response or in a health check.

use super::fields::Fields;
use super::{MICROS_PER_MILLISECOND, micros_rounded_down};
use birchreach::{LoadReport, Micros, Role, ServerStatus};
use birchreach_settings::DeploymentSettings;

/// The largest number of values in a load report.
const MAX_REPORT_VALUES: usize = 4;
/// A role value of at least this in a load report means the primary, a lower value means a replica.
const PRIMARY_ROLE_VALUE: f32 = 0.5;

/// Decodes the status of a server. The two lowest bits hold the role, the others hold the log position in milliseconds.
/// Returns `None` if the role is unknown.
pub(super) fn decode_status(bits: u32, position_epoch: Micros) -> Option<ServerStatus> {
    let role = match bits % 4 {
        1 => Role::Primary,
        2 => Role::Replica,
        _ => return None,
    };
    let position_ms = Micros::from(bits / 4);
    let position = (position_ms > 0).then_some(position_epoch + position_ms * MICROS_PER_MILLISECOND);
    Some(ServerStatus { role, position })
}

/// Decodes a load report, which consists of the number of values and the values. The settings give the meaning of each.
/// Returns `None` if there are no values.
pub(super) fn decode_load_report(
    record: &Fields,
    offset: usize,
    settings: &DeploymentSettings,
) -> Option<LoadReport> {
    let count = usize::from(record.u8(offset)).min(MAX_REPORT_VALUES);
    if count == 0 {
        return None;
    }
    let value = |index: Option<usize>| {
        let index = index.filter(|index| *index < count)?;
        Some(record.f32(offset + 1 + 4 * index)).filter(|value| value.is_finite())
    };
    let position = value(settings.load_report_position_index)
        .map(|seconds| settings.position_epoch + micros_from_seconds_rounded_down(seconds));
    let role = value(settings.load_report_role_index)
        .map(|role| if role >= PRIMARY_ROLE_VALUE { Role::Primary } else { Role::Replica });
    Some(LoadReport { position, role })
}

/// Converts seconds to microseconds, rounded down, including the precision of the 32-bit float, because the result must
/// never be later than the actual log position.
fn micros_from_seconds_rounded_down(seconds: f32) -> Micros {
    const MILLISECONDS_PER_SECOND: f64 = 1_000.0;
    let precision = f64::from(seconds.next_up()) - f64::from(seconds);
    micros_rounded_down((f64::from(seconds) - precision) * MILLISECONDS_PER_SECOND)
}
