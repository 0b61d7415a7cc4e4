//! A short soak test with the checks of the long one.

use lab::{SiteKind, SoakPlan, run_soak};

#[test]
fn short_soak_violates_no_invariant() {
    let plan = SoakPlan {
        site: SiteKind::Malabar,
        seed: 3,
        seconds: 4.0,
        loads: 2,
    };
    let report = run_soak(&plan).unwrap();
    assert!(report.faults > 0, "{report}");
    assert_eq!(report.violations(), Vec::<String>::new(), "{report}");
}
