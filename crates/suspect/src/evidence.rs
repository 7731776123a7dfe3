//! The evidence of one host, and its stored form.

use base::{ParseError, TargetName, TeamName};
use serde::{Deserialize, Serialize};

use crate::{CrashId, PartId, SuspectRequest};

/// What a host knows of one crash.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashReport {
    /// The crash.
    pub crash: CrashId,
    /// Requests that the target was about to answer.
    pub suspects: Vec<SuspectRequest>,
}

/// The evidence of one host, which all others read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HostEvidence {
    /// Process of the host that counted the answers.
    pub incarnation: u64,
    /// Crashes that the host has seen.
    pub crashes: Vec<CrashReport>,
    /// How many requests with a suspected part have been answered since it was suspected.
    pub answered: Vec<(PartId, u32)>,
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
    suspects: Vec<SuspectRow>,
}

/// A request: its team and the ids of its parts, separated by commas.
type SuspectRow = (Option<TeamName>, String);

impl From<&HostEvidence> for EvidenceWire {
    fn from(evidence: &HostEvidence) -> EvidenceWire {
        let crashes = evidence.crashes.iter().map(|report| CrashRow {
            target: report.crash.target.clone(),
            born_ms: report.crash.born_ms,
            suspects: report.suspects.iter().map(to_row).collect(),
        });
        let answered = evidence.answered.iter().map(|(part, count)| (part.to_string(), *count));
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
            let suspects = row.suspects.into_iter().map(from_row).collect::<Result<_, _>>()?;
            let crash = CrashId { target: row.target, born_ms: row.born_ms };
            Ok(CrashReport { crash, suspects })
        });
        let answered = wire.answered.into_iter().map(|(part, count)| Ok((part.parse()?, count)));
        Ok(HostEvidence {
            incarnation: wire.incarnation,
            crashes: crashes.collect::<Result<_, ParseError>>()?,
            answered: answered.collect::<Result<_, ParseError>>()?,
        })
    }
}

fn to_row(suspect: &SuspectRequest) -> SuspectRow {
    let parts: Vec<String> = suspect.parts.iter().map(PartId::to_string).collect();
    (suspect.team.clone(), parts.join(","))
}

fn from_row((team, parts): SuspectRow) -> Result<SuspectRequest, ParseError> {
    let parts = parts.split(',').filter(|part| !part.is_empty()).map(str::parse);
    Ok(SuspectRequest { team, parts: parts.collect::<Result<_, _>>()? })
}
