//! Tests that the result codes and the table in docs/CODES.md agree.

use mango_base::ResultCode;

#[test]
fn documented_codes() {
    let table = include_str!("../../../docs/CODES.md");
    for code in ResultCode::ALL {
        let row = format!(
            "| {} | {:?} | {} | {} | {} |",
            code.number(),
            code,
            code.status(),
            code.ran(),
            code.text()
        );
        assert!(table.contains(&row), "docs/CODES.md lacks the row\n{row}");
    }
    let rows = table.lines().filter(|line| line.starts_with("| ") && line.contains("| yes |"));
    assert!(rows.count() > 0);
    assert_eq!(
        table.lines().filter(|line| line.starts_with("| 1") || line.starts_with("| 2")).count(),
        ResultCode::ALL.len()
    );
}

#[test]
fn number_roundtrip() {
    for code in ResultCode::ALL {
        assert_eq!(ResultCode::try_from(code.number()), Ok(*code));
    }
    assert!(ResultCode::try_from(9).is_err());
}
