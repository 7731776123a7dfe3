//! The evidence of one host, and its stored form.

use std::time::Duration;

use base::{ParseError, TargetName, TeamName};
use serde::{Deserialize, Serialize};

use crate::{CrashCause, CrashId, PartId, SuspectRequest, SuspectRun, UnixMillis};

/// What a host knows of one crash.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashReport {
    /// The crash.
    pub crash: CrashId,
    /// When the host saw it.
    pub crashed_at: UnixMillis,
    /// Requests that the target was about to answer, with the copies that this host had sent.
    pub suspects: Vec<SuspectRun>,
}

/// The evidence of one host, which all others read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HostEvidence {
    /// Process of the host that counted the answers.
    pub incarnation: u64,
    /// Crashes that the host has seen.
    pub crashes: Vec<CrashReport>,
    /// How many times each suspected request, or a request with each suspected part, has been answered since
    /// it was suspected.
    pub answered: Vec<(CrashCause, u32)>,
}

/// The stored form of [`HostEvidence`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceWire {
    incarnation: u64,
    crashes: Vec<CrashRow>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    answered: Vec<(String, u32)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct CrashRow {
    target: TargetName,
    born_ms: u64,
    #[serde(default)]
    at_ms: u64,
    suspects: Vec<SuspectRow>,
}

/// Runs of a request: its team, the ids of its parts separated by commas, its digest, how long before the
/// crash it was sent, in milliseconds, the number of copies that this host had sent, and 1 if it had seen an answer
/// before, or 0.
type SuspectRow = (Option<TeamName>, String, String, u64, u32, u8);

impl From<&HostEvidence> for EvidenceWire {
    fn from(evidence: &HostEvidence) -> EvidenceWire {
        let crashes = evidence.crashes.iter().map(|report| CrashRow {
            target: report.crash.target.clone(),
            born_ms: report.crash.born_ms,
            at_ms: report.crashed_at.0,
            suspects: report.suspects.iter().map(|run| to_row(run, report.crashed_at)).collect(),
        });
        let answered = evidence.answered.iter().map(|(cause, count)| (cause.to_string(), *count));
        EvidenceWire {
            incarnation: evidence.incarnation,
            crashes: crashes.collect(),
            answered: answered.collect(),
        }
    }
}

impl TryFrom<EvidenceWire> for HostEvidence {
    type Error = ParseError;

    fn try_from(wire: EvidenceWire) -> Result<HostEvidence, ParseError> {
        let crashes = wire.crashes.into_iter().map(|row| {
            let crashed_at = UnixMillis(row.at_ms);
            let runs = row.suspects.into_iter().map(|row| from_row(row, crashed_at));
            let suspects = runs.collect::<Result<_, _>>()?;
            let crash = CrashId { target: row.target, born_ms: row.born_ms };
            Ok(CrashReport { crash, crashed_at, suspects })
        });
        let answered = wire.answered.into_iter().map(|(cause, count)| Ok((cause.parse()?, count)));
        Ok(HostEvidence {
            incarnation: wire.incarnation,
            crashes: crashes.collect::<Result<_, ParseError>>()?,
            answered: answered.collect::<Result<_, ParseError>>()?,
        })
    }
}

fn to_row(run: &SuspectRun, crashed_at: UnixMillis) -> SuspectRow {
    let SuspectRequest { team, digest, parts } = &run.request;
    let parts: Vec<String> = parts.iter().map(PartId::to_string).collect();
    let ran_ms = crashed_at.0.saturating_sub(run.sent_at.0);
    (
        team.clone(),
        parts.join(","),
        digest.to_string(),
        ran_ms,
        run.copies,
        u8::from(run.was_answered),
    )
}

fn from_row(
    (team, parts, digest, ran_ms, copies, was_answered): SuspectRow,
    crashed_at: UnixMillis,
) -> Result<SuspectRun, ParseError> {
    let parts = parts.split(',').filter(|part| !part.is_empty()).map(str::parse);
    let parts = parts.collect::<Result<_, _>>()?;
    let request = SuspectRequest { team, digest: digest.parse()?, parts };
    let sent_at = crashed_at.before(Duration::from_millis(ran_ms));
    Ok(SuspectRun { request, sent_at, copies, was_answered: was_answered > 0 })
}
